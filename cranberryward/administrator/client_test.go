package administrator

import (
	"context"
	"io"
	"testing"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/standin/scriptserver"
)

// TestInvalidStatusIsNoSuccess guards against telling an operator that a submission was accepted because of an answer with the status 000.
func TestInvalidStatusIsNoSuccess(t *testing.T) {
	server, err := scriptserver.New(func(exchange *scriptserver.Exchange) bool {
		_, _ = io.WriteString(exchange, "HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\n{}") // the client may close the connection within it
		return false
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	if _, err := New(server.Address(), "token").Submit(context.Background(), cranberryward.Submission{}); cranberryward.VerdictOf(err) != cranberryward.MayHaveRun {
		t.Errorf("error %v, expected one that says that the submission may have been accepted", err)
	}
}
