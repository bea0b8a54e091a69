package forwarder

import (
	"io"
	"net/http"
	"strconv"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/connector"
	"github.com/cranberryward/cranberryward/platform"
	"github.com/rotisserie/eris"
)

// maxPassedBytes bounds the body of a response that is passed on as it arrives: a longer one is taken for a wrong length.
const maxPassedBytes = 1 << 30

// isLong returns whether a response is a success that is too long to be held.
func isLong(response *connector.Response, metadata cranberryward.ResponseMetadata) bool {
	head := response.HTTP()
	passable := head.StatusCode >= 200 && head.StatusCode < 300 && metadata.Signed && !metadata.Encoded && head.Body != http.NoBody
	return passable && head.ContentLength > maxResponseBytes && head.ContentLength <= maxPassedBytes
}

// passOn copies a long response to the caller as it arrives, but for its last byte, which follows once the response is known to be whole; it breaks off otherwise.
func (forwarder *Forwarder) passOn(writer http.ResponseWriter, exchange *exchange, answer answer) {
	response, state := answer.stream, answer.state
	status, length := response.HTTP().StatusCode, response.HTTP().ContentLength
	platform.CopyResponseHeaders(writer.Header(), response.HTTP().Header)
	writer.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	writer.WriteHeader(status)
	err := copyWhole(callerWriter{writer}, response, length)
	if err == nil {
		response.Finish()
		forwarder.judge(exchange, state, status, nil, platform.ReadResponse(response.HTTP()))
		forwarder.requestLog.recordEnd(exchange, status, "")
		return
	}
	response.Abort()
	forwarder.requestLog.recordBreak(exchange, *state.server(), 0, err)
	forwarder.servers.done(state, forwarder.failureOutcome(exchange))
	forwarder.recordBreak(exchange, *state.server(), sendBreak{
		err:      err,
		progress: answerBegun,
	})
	forwarder.requestLog.recordEnd(exchange, status, "answer_cut")
	panic(http.ErrAbortHandler)
}

// copyWhole copies a body of a known length, and its last byte only if the response is whole.
func copyWhole(writer io.Writer, response *connector.Response, length int64) error {
	body := response.HTTP().Body
	if _, err := io.CopyN(writer, body, length-1); err != nil {
		return err
	}
	last, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	if err := response.MarkComplete(); err != nil {
		return err
	}
	_, err = writer.Write(last)
	return err
}

// callerWriter writes to a caller and tells its failures from those of backend servers.
type callerWriter struct{ writer io.Writer }

// Write writes to the caller.
func (callerWriter callerWriter) Write(data []byte) (int, error) {
	n, err := callerWriter.writer.Write(data)
	if err != nil {
		return n, eris.Wrap(errCallerGone, err.Error())
	}
	return n, nil
}
