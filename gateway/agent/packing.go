package agent

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"
)

const (
	// meanPacked is the mean of a count as it is told: what is rounded away for a while is a sixtieth of the counts of a group of 72 ranks.
	meanPacked = 2
	// maxPacked is the largest count as it is told; what lies beyond it is told the next time.
	maxPacked = 255
	// longestUnpacked bounds what a message is taken to hold, in bytes: a map of ten thousand ranks.
	longestUnpacked = 16 << 20
)

// packCounts returns counts in a few bits each, as multiples of a unit, and what of them was told so.
func packCounts(counts []int64) (packed []byte, unit int64, told []int64) {
	total := int64(0)
	for _, count := range counts {
		total += max(count, 0)
	}
	unit = max(total/int64(meanPacked*max(len(counts), 1)), 1)
	values := make([]byte, len(counts))
	told = make([]int64, len(counts))
	for i, count := range counts {
		value := min(max(count, 0)/unit, maxPacked)
		values[i], told[i] = byte(value), value*unit
	}
	return squeeze(values), unit, told
}

// unpackCounts returns the counts that were told in multiples of a unit.
func unpackCounts(packed []byte, unit int64) ([]int64, error) {
	values, err := unsqueeze(packed)
	if err != nil {
		return nil, err
	}
	counts := make([]int64, len(values))
	for i, value := range values {
		counts[i] = int64(value) * unit
	}
	return counts, nil
}

// packChanges returns the changes of a map in a few bytes each.
func packChanges(changes []MapChange) []byte {
	var text []byte
	for _, change := range changes {
		text = binary.AppendUvarint(text, uint64(change.Set))
		text = binary.AppendUvarint(text, uint64(change.Rank))
		text = binary.AppendUvarint(text, uint64(len(change.Experts)))
		for _, expert := range change.Experts {
			text = binary.AppendUvarint(text, uint64(expert))
		}
	}
	return squeeze(text)
}

// unpackChanges returns the changes of a map.
func unpackChanges(packed []byte) ([]MapChange, error) {
	text, err := unsqueeze(packed)
	if err != nil {
		return nil, err
	}
	reader := bytes.NewReader(text)
	var failure error
	next := func() int {
		value, err := binary.ReadUvarint(reader)
		if err != nil {
			failure = eris.Wrap(err, "changes of a map")
		}
		return int(value)
	}
	var changes []MapChange
	for reader.Len() > 0 && failure == nil {
		change := MapChange{
			Set:  next(),
			Rank: next(),
		}
		for range min(next(), reader.Len()) {
			change.Experts = append(change.Experts, next())
		}
		changes = append(changes, change)
	}
	return changes, failure
}

// squeeze codes bytes by how often each occurs.
func squeeze(text []byte) []byte {
	var buffer bytes.Buffer
	writer, _ := flate.NewWriter(&buffer, flate.HuffmanOnly) // fails only at an unknown level
	_, _ = writer.Write(text)                                // a buffer takes all
	_ = writer.Close()
	return buffer.Bytes()
}

func unsqueeze(packed []byte) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), longestUnpacked))
	return text, eris.Wrap(err, "packed message")
}
