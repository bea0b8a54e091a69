package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cranberryward/cranberryward/acceptor"
	"github.com/cranberryward/cranberryward/reserver"
	"github.com/cranberryward/cranberryward/standin/scriptserver"
	"github.com/cranberryward/cranberryward/stopper"
	"github.com/go-kit/log"
)

// TestStopAnswersRequestsBeingRead guards against closing the connection of a request that arrives while the process stops: nothing was in flight when
// the last check was made.
func TestStopAnswersRequestsBeingRead(t *testing.T) {
	for name, test := range map[string]struct {
		before, after string
	}{
		"the request has arrived in part": {"GET / HTTP/1.1\r\n", "Host: front.example\r\n\r\n"},
		"the connection was just made":    {"", "GET / HTTP/1.1\r\nHost: front.example\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			handler := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusOK) })
			callers := newCallerListener(listener, handler, acceptor.New(&reserver.Reserver{}, acceptor.Limit(0, 0), noLimits, func(string) {}, log.NewNopLogger()))
			go callers.run()
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			io.WriteString(conn, test.before)
			callers.awaitAccepted(t)
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				callers.stop(time.Now().Add(5*time.Second), func() int64 { return 0 })
			}()
			<-time.After(50 * time.Millisecond)
			io.WriteString(conn, test.after)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || response.StatusCode != http.StatusOK {
				t.Fatalf("the request got no answer: %v", err)
			}
			select {
			case <-stopped:
			case <-time.After(10 * time.Second):
				t.Error("the listener did not stop after the last answer")
			}
		})
	}
}

// TestStopAnswersRequestsInFlight guards against closing the connections of requests that are in flight at the end of a stop without an answer; one that may have run
// must not be told that it has not.
func TestStopAnswersRequestsInFlight(t *testing.T) {
	const stopTime = 600 * time.Millisecond
	for path, status := range map[string]int{
		"/book/": http.StatusBadGateway,
		"/look/": http.StatusBadGateway,
		"/once/": http.StatusBadGateway,
	} {
		t.Run(path, func(t *testing.T) {
			begun := make(chan struct{}, 1)
			fixture := newFixture(t, func(exchange *scriptserver.Exchange) bool {
				begun <- struct{}{}
				exchange.Read(make([]byte, 1)) // returns when the entry closes the connection
				return false
			})
			go func() {
				<-begun
				fixture.forwarder.Stop(time.Now().Add(stopTime))
			}()
			sentAt := time.Now()
			got, _ := fixture.send(fixture.request(http.MethodPost, path, "question"))
			if took := time.Since(sentAt); got != status || took > stopTime+100*time.Millisecond {
				t.Errorf("status %d after %s, expected %d before the end of the stop, %s after its begin", got, took, status, stopTime)
			}
		})
	}
}

// TestStopCutsNoStreamThatItAccepts guards against accepting a stream whose deadline is in the time that the end of a stop leaves for answers: it would be cut before its
// caller's deadline (review/10).
func TestStopCutsNoStreamThatItAccepts(t *testing.T) {
	const stopTime, pieces = time.Second, 10
	for name, test := range map[string]struct {
		// remaining is the time that the caller has left as the stop begins; the stream needs most of it.
		remaining time.Duration
		status    int
		body      string
		runs      int
	}{
		"until the answers":  {stopTime - 3*stopper.AnswerTime, http.StatusOK, events(0, pieces), 1},
		"beside the answers": {stopTime - stopper.AnswerTime/4, http.StatusServiceUnavailable, "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture(t, func(exchange *scriptserver.Exchange) bool {
				io.WriteString(exchange, scriptserver.ResponseHead(exchange.Request.Header.Get("X-Attempt-Id"), 200, "Content-Type: text/event-stream", "Transfer-Encoding: chunked"))
				for id := 1; id <= pieces; id++ {
					<-time.After((test.remaining - stopper.AnswerTime/2) / pieces)
					io.WriteString(exchange, scriptserver.EventChunk(id, fmt.Sprintf("piece %d", id)))
				}
				io.WriteString(exchange, "0\r\n\r\n")
				return true
			})
			fixture.forwarder.Stop(time.Now().Add(stopTime))
			request := fixture.request(http.MethodPost, "/once/", "question", fmt.Sprint("X-Deadline-Remaining-Ms: ", test.remaining.Milliseconds()))
			if status, body := fixture.send(request); status != test.status || body != test.body || fixture.runs() != test.runs {
				t.Errorf("status %d after %d runs, expected %d after %d; body %q", status, fixture.runs(), test.status, test.runs, body)
			}
		})
	}
}

// awaitAccepted waits until the server has taken a connection.
func (callerListener *callerListener) awaitAccepted(t *testing.T) {
	deadline := time.After(10 * time.Second)
	for callerListener.open.Load() == 0 {
		select {
		case <-deadline:
			t.Fatal("the connection was not accepted")
		case <-time.After(time.Millisecond):
		}
	}
	<-time.After(20 * time.Millisecond) // the server reads what has arrived
}
