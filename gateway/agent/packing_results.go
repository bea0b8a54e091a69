package agent

import (
	"encoding/binary"
	"math"

	"github.com/cranberryward/cranberryward"
	"github.com/rotisserie/eris"
)

const (
	// paceUnit is the precision with which the pace of a rank is passed on.
	paceUnit = 0.01
	// maxResults bounds the results that a message may hold: a group of ten thousand ranks.
	maxResults = 10000
	// maxTextBytes bounds a text in a message.
	maxTextBytes = 4096
)

// resultsWriter encodes results in a few bytes each: the ranks of a group differ in few fields, so numbers are encoded as differences to the result before.
type resultsWriter struct {
	buffer []byte
	before cranberryward.RankReport
}

// packResults encodes the reports, incarnations and failures of results; placements are not encoded.
func packResults(results []SurveyResult) []byte {
	writer := resultsWriter{buffer: binary.AppendUvarint(nil, uint64(len(results)))}
	for _, result := range results {
		writer.add(result)
	}
	return writer.buffer
}

// Bits of the first byte of a result.
const (
	flagFailed = 1 << iota
	flagTermEnded
	flagNotRun
	flagOpen
	flagFresh
	flagSameGroup
)

func (resultsWriter *resultsWriter) add(result SurveyResult) {
	report, before := result.Observation.Report, resultsWriter.before
	flags := byte(0)
	for bit, set := range map[byte]bool{
		flagFailed:    result.Failure != (TreeFailure{}),
		flagTermEnded: result.Failure.TermEnded,
		flagNotRun:    result.Failure.NotRun,
		flagOpen:      report.Open,
		flagFresh:     result.Observation.Fresh,
		flagSameGroup: report.Group == before.Group,
	} {
		if set {
			flags |= bit
		}
	}
	resultsWriter.buffer = append(resultsWriter.buffer, flags)
	if flags&flagFailed != 0 {
		resultsWriter.text(result.Failure.Text)
		return
	}
	if flags&flagSameGroup == 0 {
		resultsWriter.text(report.Group)
	}
	resultsWriter.buffer = binary.LittleEndian.AppendUint64(resultsWriter.buffer, result.Life)
	numbers, earlier := reportNumbers(report), reportNumbers(before)
	for i := range numbers {
		resultsWriter.buffer = binary.AppendVarint(resultsWriter.buffer, numbers[i]-earlier[i])
	}
	resultsWriter.before = report
}

func (resultsWriter *resultsWriter) text(text string) {
	text = text[:min(len(text), maxTextBytes)]
	resultsWriter.buffer = binary.AppendUvarint(resultsWriter.buffer, uint64(len(text)))
	resultsWriter.buffer = append(resultsWriter.buffer, text...)
}

// reportNumbers returns the numbers of a report in the order in which they are encoded; the subtraction of two of them may wrap around.
func reportNumbers(report cranberryward.RankReport) [13]int64 {
	return [13]int64{
		int64(report.Epoch), int64(report.Rank), int64(report.Size), int64(report.Orders), int64(report.Step), int64(report.Map), int64(report.Prepared),
		int64(report.Armed), int64(report.Held), int64(report.Running), int64(report.Waiting), int64(math.Round(report.Pace / paceUnit)), report.Born,
	}
}

// unpackResults decodes results that packResults encoded.
func unpackResults(packed []byte) ([]SurveyResult, error) {
	reader := resultsReader{input: packed}
	count := reader.uvarint()
	if count > maxResults || count > uint64(len(packed)) {
		return nil, eris.Errorf("packed results of %d bytes: excessive number of results %d", len(packed), count)
	}
	results := make([]SurveyResult, 0, count)
	for range count {
		results = append(results, reader.next())
	}
	if reader.truncated || len(reader.input) > 0 {
		return nil, eris.Errorf("packed results of %d bytes are truncated or too long, expected %d results", len(packed), count)
	}
	return results, nil
}

// resultsReader reads what a resultsWriter wrote; past the end it reads zeros and sets truncated.
type resultsReader struct {
	input     []byte
	before    cranberryward.RankReport
	truncated bool
}

func (resultsReader *resultsReader) next() SurveyResult {
	flags := byte(0)
	if taken := resultsReader.take(1); taken != nil {
		flags = taken[0]
	}
	if flags&flagFailed != 0 {
		return SurveyResult{
			Failure: TreeFailure{
				Text:      resultsReader.text(),
				TermEnded: flags&flagTermEnded != 0,
				NotRun:    flags&flagNotRun != 0,
			},
		}
	}
	report := resultsReader.before
	if flags&flagSameGroup == 0 {
		report.Group = resultsReader.text()
	}
	var result SurveyResult
	if taken := resultsReader.take(8); taken != nil {
		result.Life = binary.LittleEndian.Uint64(taken)
	}
	numbers := reportNumbers(report)
	for i := range numbers {
		numbers[i] += resultsReader.varint()
	}
	setReportNumbers(&report, numbers)
	report.Open = flags&flagOpen != 0
	resultsReader.before = report
	result.Observation.Report, result.Observation.Fresh = report, flags&flagFresh != 0
	return result
}

func setReportNumbers(report *cranberryward.RankReport, numbers [13]int64) {
	report.Epoch, report.Rank, report.Size = uint64(numbers[0]), int(numbers[1]), int(numbers[2])
	report.Orders, report.Step, report.Map, report.Prepared = uint64(numbers[3]), uint64(numbers[4]), uint64(numbers[5]), uint64(numbers[6])
	report.Armed, report.Held = uint64(numbers[7]), uint64(numbers[8])
	report.Running, report.Waiting = int(numbers[9]), int(numbers[10])
	report.Pace, report.Born = float64(numbers[11])*paceUnit, numbers[12]
}

func (resultsReader *resultsReader) take(count int) []byte {
	if count > len(resultsReader.input) {
		resultsReader.input, resultsReader.truncated = nil, true
		return nil
	}
	taken := resultsReader.input[:count]
	resultsReader.input = resultsReader.input[count:]
	return taken
}

func (resultsReader *resultsReader) text() string {
	length := resultsReader.uvarint()
	if length > maxTextBytes {
		resultsReader.input, resultsReader.truncated = nil, true
		return ""
	}
	return string(resultsReader.take(int(length)))
}

func (resultsReader *resultsReader) uvarint() uint64 {
	value, used := binary.Uvarint(resultsReader.input)
	resultsReader.take(consumed(used, len(resultsReader.input)))
	return value
}

func (resultsReader *resultsReader) varint() int64 {
	value, used := binary.Varint(resultsReader.input)
	resultsReader.take(consumed(used, len(resultsReader.input)))
	return value
}

// consumed returns the number of bytes that a decoded number took, or one more than there are if it is truncated or too long.
func consumed(used, available int) int {
	if used <= 0 {
		return available + 1
	}
	return used
}
