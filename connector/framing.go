package connector

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"math"
	"net/http"
	"strings"
	"syscall"

	"github.com/rotisserie/eris"
)

// maxHeadBytes bounds the status and headers of a response.
const maxHeadBytes = 64 << 10

var (
	errHeadTooLong = eris.Errorf("status and headers of a response are longer than %d bytes", maxHeadBytes)
	// errBareLineFeed means that a line of a head ends without a carriage return: a wrong byte may have ended the head, or moved a header into the body.
	errBareLineFeed = eris.New("a line of a response's head ends with a line feed alone")
	// errBlankInName means that the name of a field holds a blank, or that a line begins with one: net/http keeps such a name, with which the field is another one than it
	// was, or takes the line for a part of the field before it.
	errBlankInName = eris.New("the name of a field in a response's head holds a blank")
	// errInvalidStatus means that a response has a status below 100, such as 000.
	errInvalidStatus = eris.New("the status of a response is below 100")
	// errBodyNotAllowed means that a response has a body that its status does not allow.
	errBodyNotAllowed = eris.New("a response without a body states the length of one")
	// errUnexpectedTrailer means that trailers follow the body that no header announced: they may be the rest of a body with a wrong size of a chunk.
	errUnexpectedTrailer = eris.New("trailers that were not announced follow the body of a response")
	// errBytesAfterBody means that what follows the body is no response: it may be the rest of a body with a wrong length.
	errBytesAfterBody = eris.New("bytes that are no response follow the body of a response")
	// errChunksWithoutHeader means that a body which ends with its connection is one that was sent in chunks.
	errChunksWithoutHeader = eris.New("a response without Transfer-Encoding has a chunked body")
)

// responsePrefix begins each response, as far as it can be told from a few bytes.
var responsePrefix = []byte("HTTP/")

// headReader reads from a connection and fails once a head is longer than maxHeadBytes; it also checks the lines of the head.
type headReader struct {
	source io.Reader
	left   int64
	lines  lineChecker
}

// beginHead bounds what is read until endHead; buffered are the bytes that were read before.
func (headReader *headReader) beginHead(buffered []byte) {
	headReader.left = maxHeadBytes
	headReader.lines = lineChecker{}
	headReader.lines.check(buffered)
}

// endHead lifts the bound, as for a body, which has bounds of its own, and returns an error if a line of the head is not as it must be.
func (headReader *headReader) endHead() error {
	headReader.left = math.MaxInt64
	return headReader.lines.err
}

// Read reads no more than the bound allows.
func (headReader *headReader) Read(data []byte) (int, error) {
	if headReader.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := headReader.source.Read(data[:min(int64(len(data)), headReader.left)])
	headReader.left -= int64(n)
	headReader.lines.check(data[:n])
	return n, err
}

// lineChecker finds lines of a head that net/http accepts and that may be broken ones; its zero value is ready for the first byte of a head.
type lineChecker struct {
	// previous is the last byte, and length is the number of bytes of the current line, without its end.
	previous byte
	length   int
	// inName is whether the name of a field has begun and not ended.
	inName bool
	ended  bool
	err    error
}

// check checks further bytes, up to the end of the head.
func (lineChecker *lineChecker) check(data []byte) {
	for _, one := range data {
		if lineChecker.ended {
			return
		}
		switch one {
		case '\n':
			if lineChecker.previous != '\r' {
				lineChecker.err = errBareLineFeed
			}
			lineChecker.ended = lineChecker.length == 0
			lineChecker.length = 0
			lineChecker.inName = true // fields follow the status line
		case '\r':
		case ' ', '\t':
			if lineChecker.inName {
				lineChecker.err = errBlankInName
			}
			lineChecker.length++
		case ':':
			lineChecker.inName = false
			lineChecker.length++
		default:
			lineChecker.length++
		}
		lineChecker.previous = one
	}
}

// checkHead returns an error if a response states the length of a body that its status does not allow, so that the body would be taken for what follows.
func checkHead(response *http.Response) error {
	if response.StatusCode != http.StatusNoContent {
		return nil
	}
	if length := response.Header.Get("Content-Length"); length != "" && length != "0" || len(response.TransferEncoding) > 0 {
		return errBodyNotAllowed
	}
	return nil
}

// checkEnd returns an error if what follows a body that was read to its end shows that the body may end too early.
func (response *Response) checkEnd() error {
	if len(response.httpResponse.Trailer) > response.trailers {
		return errUnexpectedTrailer
	}
	if response.CloseDelimited() {
		return response.checkClose()
	}
	following := response.connection.peek(len(responsePrefix))
	if len(following) > 0 && !bytes.HasPrefix(responsePrefix, following) {
		response.connector.recordStray(response.connection.address)
		return errBytesAfterBody
	}
	return nil
}

// checkClose returns an error if the connection was lost, as by a reset, instead of being closed by the backend server. The kernel reports the loss once: if the sending
// of the request's body gets the error, the response seems to end in order.
func (response *Response) checkClose() error {
	write := response.bodyWrite
	if write == nil {
		return nil
	}
	closed, err := response.connection.isClosed()
	if err != nil {
		return eris.Wrap(err, "read the state of a connection at the end of a response")
	}
	if !closed {
		return nil // the backend server has closed its side in order, and the body may still be on its way
	}
	<-write.done // a closed connection ends the sending at once
	if write.err != nil && !errors.Is(write.err, syscall.EPIPE) {
		return eris.Wrap(write.err, "the connection was lost at the end of a response without a length")
	}
	return nil // EPIPE: the reset came after the end of the response
}

// chunkedHead begins a response whose body is sent in chunks.
const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// isChunked returns whether a whole body has the form of one that was sent in chunks.
func isChunked(body []byte) bool {
	if !bytes.HasSuffix(body, []byte("0\r\n\r\n")) {
		return false
	}
	response, err := http.ReadResponse(bufio.NewReader(io.MultiReader(strings.NewReader(chunkedHead), bytes.NewReader(body))), nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil
}
