package agent

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"io"
	"math/bits"
	"sync"

	"github.com/rotisserie/eris"
)

const (
	// meanPackedCount is the mean to which counts are scaled; in a group of 72 ranks, rounding then defers a sixtieth of the counts to the next reply.
	meanPackedCount = 2
	// maxPackedCount is the largest packed count; the excess is sent the next time.
	maxPackedCount = 100
	// riceBits is the parameter of the Rice code of the counts: that many low bits are written as they are and the rest in unary, which is shortest
	// for counts close to meanPackedCount.
	riceBits = 1
	// maxCounts bounds the counts that a message may hold: sixty sets of a thousand experts.
	maxCounts = 60000
	// maxUnpackedBytes bounds the size of a decompressed message: a map of ten thousand ranks.
	maxUnpackedBytes = 16 << 20
)

// packCounts encodes counts in a few bits each, as multiples of a unit, and also returns the counts that the code stands for.
func packCounts(counts []int64) (packed []byte, unit int64, sent []int64) {
	total := int64(0)
	for _, count := range counts {
		total += max(count, 0)
	}
	unit = max(total/int64(meanPackedCount*max(len(counts), 1)), 1)
	sent = make([]int64, len(counts))
	writer := bitWriter{
		buffer: binary.AppendUvarint(make([]byte, 0, len(counts)/2), uint64(len(counts))),
	}
	for i, count := range counts {
		value := min(max(count, 0)/unit, maxPackedCount)
		sent[i] = value * unit
		writer.write(uint64(value)&(1<<riceBits-1), riceBits)
		writer.writeUnary(uint(value >> riceBits))
	}
	return writer.bytes(), unit, sent
}

// unpackCounts decodes counts that were packed in multiples of a unit.
func unpackCounts(packed []byte, unit int64) ([]int64, error) {
	size, used := binary.Uvarint(packed)
	if used <= 0 || size > maxCounts {
		return nil, eris.Errorf("packed counts of %d bytes: missing or excessive number of counts", len(packed))
	}
	reader := bitReader{input: packed[used:]}
	counts := make([]int64, size)
	for i := range counts {
		low := reader.read(riceBits)
		counts[i] = int64(reader.readUnary()<<riceBits|low) * unit
	}
	if reader.truncated {
		return nil, eris.Errorf("packed counts of %d bytes are truncated, expected %d counts", len(packed), size)
	}
	return counts, nil
}

// bitWriter appends bits to bytes, least significant bit first.
type bitWriter struct {
	buffer []byte
	bits   uint64
	count  uint
}

func (bitWriter *bitWriter) write(bits uint64, count uint) {
	bitWriter.bits |= bits << bitWriter.count
	for bitWriter.count += count; bitWriter.count >= 8; bitWriter.count -= 8 {
		bitWriter.buffer = append(bitWriter.buffer, byte(bitWriter.bits))
		bitWriter.bits >>= 8
	}
}

// writeUnary writes that many ones and a zero, which must fit into a word together with the bits not yet written out.
func (bitWriter *bitWriter) writeUnary(ones uint) { bitWriter.write(1<<ones-1, ones+1) }

func (bitWriter *bitWriter) bytes() []byte { return append(bitWriter.buffer, byte(bitWriter.bits)) }

// bitReader reads what a bitWriter wrote; past the end it reads zeros and sets truncated.
type bitReader struct {
	input     []byte
	bits      uint64
	count     uint
	truncated bool
}

func (bitReader *bitReader) read(count uint) uint64 {
	if bitReader.count < count && !bitReader.fill() {
		return 0
	}
	read := bitReader.bits & (1<<count - 1)
	bitReader.bits >>= count
	bitReader.count -= count
	return read
}

// readUnary returns how many ones come before the next zero.
func (bitReader *bitReader) readUnary() uint64 {
	ones := uint64(0)
	for {
		run := uint(bits.TrailingZeros64(^bitReader.bits))
		if run < bitReader.count {
			bitReader.bits >>= run + 1
			bitReader.count -= run + 1
			return ones + uint64(run)
		}
		ones += uint64(bitReader.count)
		bitReader.bits, bitReader.count = 0, 0
		if !bitReader.fill() {
			return ones
		}
	}
}

// fill reads more bytes and returns whether there were any.
func (bitReader *bitReader) fill() bool {
	if len(bitReader.input) == 0 {
		bitReader.truncated = true
		return false
	}
	for bitReader.count <= 56 && len(bitReader.input) > 0 {
		bitReader.bits |= uint64(bitReader.input[0]) << bitReader.count
		bitReader.input = bitReader.input[1:]
		bitReader.count += 8
	}
	return true
}

// changesPacker packs the changes from one map to the next once for all ranks; the zero value is ready to use.
type changesPacker struct {
	mutex  sync.Mutex
	before uint64
	after  uint64
	packed []byte
}

// pack returns the packed changes between two maps of the given versions.
func (changesPacker *changesPacker) pack(before, after uint64, from, to [][][]int) []byte {
	changesPacker.mutex.Lock()
	defer changesPacker.mutex.Unlock()
	if changesPacker.packed == nil || changesPacker.before != before || changesPacker.after != after {
		changesPacker.before, changesPacker.after = before, after
		changesPacker.packed = packChanges(mapChanges(from, to))
	}
	return changesPacker.packed
}

// packChanges encodes the changes of a map in a few bytes each.
func packChanges(changes []MapChange) []byte {
	var data []byte
	for _, change := range changes {
		data = binary.AppendUvarint(data, uint64(change.Set))
		data = binary.AppendUvarint(data, uint64(change.Rank))
		data = binary.AppendUvarint(data, uint64(len(change.Experts)))
		for _, expert := range change.Experts {
			data = binary.AppendUvarint(data, uint64(expert))
		}
	}
	return compress(data)
}

// unpackChanges decodes the changes of a map.
func unpackChanges(packed []byte) ([]MapChange, error) {
	data, err := decompress(packed)
	if err != nil {
		return nil, err
	}
	reader := bytes.NewReader(data)
	var failure error
	next := func() int {
		value, err := binary.ReadUvarint(reader)
		if err != nil {
			failure = eris.Wrap(err, "decode the changes of a map")
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

// compress encodes bytes with a Huffman code.
func compress(data []byte) []byte {
	var buffer bytes.Buffer
	writer, _ := flate.NewWriter(&buffer, flate.HuffmanOnly) // fails for an unknown level only
	_, _ = writer.Write(data)                                // a buffer accepts every write
	_ = writer.Close()
	return buffer.Bytes()
}

func decompress(packed []byte) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedBytes))
	return data, eris.Wrap(err, "decompress a message")
}
