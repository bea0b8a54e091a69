package caller

import (
	"bytes"
	"encoding/gob"
	"errors"
	"io"
	"net/rpc"
	"testing"
)

// endlessReader repeats its first bytes and then others without end.
type endlessReader struct {
	first []byte
	read  int
}

func (endlessReader *endlessReader) Read(data []byte) (int, error) {
	n := copy(data, endlessReader.first)
	endlessReader.first = endlessReader.first[n:]
	for i := n; i < len(data); i++ {
		data[i] = 'x'
	}
	endlessReader.read += len(data)
	return len(data), nil
}

func (endlessReader *endlessReader) Write(data []byte) (int, error) { return len(data), nil }

func (endlessReader *endlessReader) Close() error { return nil }

// TestMessagesAreBounded guards against reading a message without end from a peer: gob itself allows a gigabyte.
func TestMessagesAreBounded(t *testing.T) {
	// A message of 512 MiB is announced: the length is the negated number of the bytes that follow, 4, and these.
	source := &endlessReader{first: []byte{0xfc, 0x20, 0, 0, 0}}
	var request rpc.Request
	if err := newCodec(source).ReadRequestHeader(&request); !errors.Is(err, errMessageTooLong) {
		t.Errorf("error %v, expected that the message is too long", err)
	}
	if source.read > 2*maxMessageBytes {
		t.Errorf("%d bytes were read, at most %d are allowed", source.read, maxMessageBytes)
	}
}

// FuzzCodec checks that no bytes of a peer make the decoder fail otherwise than with an error.
func FuzzCodec(f *testing.F) {
	var encoded bytes.Buffer
	encoder := gob.NewEncoder(&encoded)
	if err := errors.Join(encoder.Encode(rpc.Request{ServiceMethod: "Slow.Fetch"}), encoder.Encode(7)); err != nil {
		f.Fatal(err)
	}
	f.Add(encoded.Bytes())
	f.Add([]byte{0xfc, 0x20, 0, 0, 0})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		codec := newCodec(struct {
			io.Reader
			io.WriteCloser
		}{
			Reader: bytes.NewReader(data),
		})
		var request rpc.Request
		for codec.ReadRequestHeader(&request) == nil {
			var entries int
			if codec.ReadRequestBody(&entries) != nil {
				return
			}
		}
	})
}
