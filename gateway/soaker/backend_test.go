package soaker

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// sign sets the headers that mark a response as a backend server's.
func sign(writer http.ResponseWriter, id string) {
	writer.Header().Set("X-Attempt-Id", id)
	writer.Header().Set("X-Response-Signature", "signature")
}

// rankHandler returns a handler that serves the API of a rank of the group, and for all other paths a stream of events, one per pass.
func (deployment *deployment) rankHandler(number int) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if strings.HasPrefix(request.URL.Path, "/v1/") {
			deployment.group.Rank(number).ServeHTTP(writer, request)
			return
		}
		if !deployment.answerRaw(writer, request, streamAnswers) {
			deployment.serveStream(writer, request, number)
		}
	})
}

func (deployment *deployment) serveStream(writer http.ResponseWriter, request *http.Request, rank int) {
	id := request.Header.Get("X-Attempt-Id")
	_, _ = io.Copy(io.Discard, request.Body) // a caller that disconnects ends the request
	deployment.limits.arrive(writer, fmt.Sprint("rank-", rank))
	if deployment.rankAnnounced[rank].answer(&deployment.announcements, fmt.Sprint("rank-", rank), id, writer.Header()) || deployment.broken.Load() {
		writer.Header().Set("X-Attempt-Id", id)
		writer.Header().Set("X-Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	from, _ := strconv.Atoi(request.Header.Get("Last-Event-Id")) // zero, the start, without a header
	deployment.checker.recordRun(id)
	deployment.awaitPass(request)
	sign(writer, id)
	writer.Header().Set("Content-Type", "text/event-stream")
	flusher, _ := writer.(http.Flusher)
	switch {
	case strings.HasSuffix(request.URL.Path, crashingPath):
		deployment.checker.recordRepeat()
		flusher.Flush()
		for number := range deployment.writtenBeforeCrash.Load() {
			fmt.Fprintf(writer, "id: %d\ndata: %s-%d\n\n", from+int(number)+1, id, number)
			flusher.Flush()
			deployment.awaitPass(request)
		}
		deployment.crashRank(rank, deployment.checker.recordRepeatCrash)
		panic(http.ErrAbortHandler)
	case deployment.crashes(request):
		flusher.Flush()
		deployment.crashRank(rank, deployment.checker.recordCrash)
		panic(http.ErrAbortHandler)
	}
	for number := from + 1; number <= streamEvents; number++ {
		deployment.awaitPass(request)
		written := number
		if rand.Int64N(100) < deployment.wrongIDs.Load() {
			written = rand.IntN(2 * streamEvents)
		}
		fmt.Fprintf(writer, "id: %d\ndata: %s-%d\n\n", written, id, number)
		flusher.Flush()
	}
}

// awaitPass waits for the next pass, and aborts the response if the group has lost a rank or the caller has disconnected.
func (deployment *deployment) awaitPass(request *http.Request) {
	step := deployment.group.Step()
	ticker := time.NewTicker(passInterval / 4)
	defer ticker.Stop()
	for deployment.group.Step() == step {
		select {
		case <-ticker.C:
		case <-request.Context().Done():
			panic(http.ErrAbortHandler)
		}
		if deployment.broken.Load() {
			panic(http.ErrAbortHandler)
		}
	}
}

// app is a plain backend server.
type app struct {
	deployment *deployment
	id         string
	host       *backendHost
	// down is whether the backend server has crashed.
	down atomic.Bool
	// resets, refuses, fails and spoils are the percentages of requests that it resets after running them, refuses, fails, and answers with a broken answer.
	resets, refuses, fails, spoils atomic.Int64
	announced                      announced
}

func (app *app) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if app.deployment.answerRaw(writer, request, plainAnswers) {
		return
	}
	id := request.Header.Get("X-Attempt-Id")
	_, _ = io.Copy(io.Discard, request.Body) // a caller that disconnects ends the request
	app.deployment.limits.arrive(writer, app.id)
	drawn := rand.Int64N(100)
	if app.announced.answer(&app.deployment.announcements, app.id, id, writer.Header()) || drawn < app.refuses.Load() {
		writer.Header().Set("X-Attempt-Id", id)
		writer.Header().Set("X-Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	app.deployment.checker.recordRun(id)
	if written := app.deployment.writtenBeforeCrash.Load(); written > 0 && strings.HasSuffix(request.URL.Path, crashingPath) {
		sign(writer, id)
		writer.Header().Set("Content-Length", fmt.Sprint(2*written))
		fmt.Fprint(writer, strings.Repeat("x", int(written)))
		_ = http.NewResponseController(writer).Flush() // the crash that follows breaks the answer off in any case
	}
	if app.crashes(request) {
		panic(http.ErrAbortHandler)
	}
	sign(writer, id)
	drawn = rand.Int64N(100)
	switch {
	case drawn < app.resets.Load():
		panic(http.ErrAbortHandler)
	case drawn < app.resets.Load()+app.fails.Load():
		writer.WriteHeader(http.StatusInternalServerError)
	case drawn < app.resets.Load()+app.fails.Load()+app.spoils.Load():
		app.deployment.answerBroken(writer, id)
	default:
		fmt.Fprint(writer, "answer to ", id)
	}
}
