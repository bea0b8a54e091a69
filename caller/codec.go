package caller

import (
	"bufio"
	"encoding/gob"
	"io"
	"net/rpc"

	"github.com/rotisserie/eris"
)

// maxMessageBytes bounds one call or reply of a peer: a configuration with all registrations, a map of a large group.
const maxMessageBytes = 16 << 20

var errMessageTooLong = eris.Errorf("message of a peer is longer than %d bytes", maxMessageBytes)

// boundedReader reads from a connection and fails once a message is longer than maxMessageBytes. It reads single bytes too, so that the decoder takes no
// more than one message.
type boundedReader struct {
	reader *bufio.Reader
	left   int64
}

func newBoundedReader(source io.Reader) *boundedReader {
	return &boundedReader{
		reader: bufio.NewReader(source),
		left:   maxMessageBytes,
	}
}

// next allows a further message.
func (boundedReader *boundedReader) next() { boundedReader.left = maxMessageBytes }

// Read reads no more than the bound allows.
func (boundedReader *boundedReader) Read(data []byte) (int, error) {
	if boundedReader.left <= 0 {
		return 0, errMessageTooLong
	}
	n, err := boundedReader.reader.Read(data[:min(int64(len(data)), boundedReader.left)])
	boundedReader.left -= int64(n)
	return n, err
}

// ReadByte reads one byte if the bound allows.
func (boundedReader *boundedReader) ReadByte() (byte, error) {
	if boundedReader.left <= 0 {
		return 0, errMessageTooLong
	}
	boundedReader.left--
	return boundedReader.reader.ReadByte()
}

// codec encodes calls and replies with gob, as net/rpc does by itself, and bounds the messages that it reads. It serves both sides.
type codec struct {
	connection io.ReadWriteCloser
	reader     *boundedReader
	decoder    *gob.Decoder
	writer     *bufio.Writer
	encoder    *gob.Encoder
}

func newCodec(connection io.ReadWriteCloser) *codec {
	reader, writer := newBoundedReader(connection), bufio.NewWriter(connection)
	return &codec{
		connection: connection,
		reader:     reader,
		decoder:    gob.NewDecoder(reader),
		writer:     writer,
		encoder:    gob.NewEncoder(writer),
	}
}

// ReadRequestHeader reads the header of a call.
func (codec *codec) ReadRequestHeader(request *rpc.Request) error {
	codec.reader.next()
	return codec.decoder.Decode(request)
}

// ReadRequestBody reads the argument of a call.
func (codec *codec) ReadRequestBody(body any) error { return codec.decoder.Decode(body) }

// WriteResponse writes a reply.
func (codec *codec) WriteResponse(response *rpc.Response, body any) error {
	return codec.write(response, body)
}

// ReadResponseHeader reads the header of a reply.
func (codec *codec) ReadResponseHeader(response *rpc.Response) error {
	codec.reader.next()
	return codec.decoder.Decode(response)
}

// ReadResponseBody reads the value of a reply.
func (codec *codec) ReadResponseBody(body any) error { return codec.decoder.Decode(body) }

// WriteRequest writes a call.
func (codec *codec) WriteRequest(request *rpc.Request, body any) error {
	return codec.write(request, body)
}

// write writes a header and a body; a connection on which only a part was encoded cannot be used any more.
func (codec *codec) write(header, body any) error {
	err := codec.encoder.Encode(header)
	if err == nil {
		err = codec.encoder.Encode(body)
	}
	if err == nil {
		err = codec.writer.Flush()
	}
	if err != nil {
		_ = codec.Close()
	}
	return err
}

// Close closes the connection.
func (codec *codec) Close() error { return codec.connection.Close() }
