package serviceserver

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/listener"
	"github.com/cranberryward/cranberryward/standin/faulter"
	"github.com/gorilla/mux"
)

const maxBodyBytes = 1 << 20

// Faults are the faults to inject.
type Faults struct {
	Down        bool   `json:"down"`
	DelayMS     int64  `json:"delay_ms"`
	LoseAnswers int    `json:"lose_answers"`
	CrashMarker string `json:"crash_marker,omitempty"`
	DownMS      int64  `json:"down_ms"`
	// Leaving is whether all responses say that the server leaves, and AwayMS is for how long from now on calls are refused.
	Leaving bool  `json:"leaving"`
	AwayMS  int64 `json:"away_ms"`
}

// Response is the body of the response to each call.
type Response struct {
	Service   string `json:"service"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Key       string `json:"key,omitempty"`
	RequestID string `json:"request_id"`
	Execution int    `json:"execution"`
	Echo      string `json:"echo"`
}

// Server is one backend server of a plain service.
type Server struct {
	name       string
	mutex      sync.Mutex
	faults     Faults
	executions []cranberryward.ExecutionRecord
	crashes    int
	downUntil  time.Time
	awayUntil  time.Time
	released   chan struct{}
}

// New returns a backend server of the named service.
func New(name string) *Server {
	return &Server{
		name: name,
	}
}

// Handler returns the HTTP API described in docs/INTERFACES.md.
func (server *Server) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/faults", server.setFaults).Methods(http.MethodPost)
	router.HandleFunc("/log", func(writer http.ResponseWriter, _ *http.Request) {
		listener.WriteJSON(writer, http.StatusOK, server.Executions())
	}).Methods(http.MethodGet)
	router.HandleFunc("/healthz", server.health).Methods(http.MethodGet)
	router.PathPrefix("/").HandlerFunc(server.serve)
	return router
}

// SetFaults replaces the injected faults.
func (server *Server) SetFaults(faults Faults) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.faults = faults
	server.awayUntil = time.Now().Add(time.Duration(faults.AwayMS) * time.Millisecond)
}

// Hold blocks all later calls before they run until the returned function is called.
func (server *Server) Hold() (release func()) {
	released := make(chan struct{})
	server.mutex.Lock()
	server.released = released
	server.mutex.Unlock()
	return func() {
		server.mutex.Lock()
		server.released = nil
		server.mutex.Unlock()
		close(released)
	}
}

// Executions returns a record of each call that ran.
func (server *Server) Executions() []cranberryward.ExecutionRecord {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return append([]cranberryward.ExecutionRecord{}, server.executions...)
}

// Crashes returns how many requests with the crash marker have taken the server down.
func (server *Server) Crashes() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.crashes
}

func (server *Server) setFaults(writer http.ResponseWriter, request *http.Request) {
	var faults Faults
	if err := listener.ReadJSON(writer, request, maxBodyBytes, &faults); err != nil {
		listener.WriteError(writer, "", err)
		return
	}
	server.SetFaults(faults)
	listener.WriteJSON(writer, http.StatusOK, faults)
}

func (server *Server) health(writer http.ResponseWriter, _ *http.Request) {
	server.mutex.Lock()
	down := server.faults.Down || time.Now().Before(server.downUntil)
	server.mutex.Unlock()
	if down {
		faulter.CloseConnection(writer)
		return
	}
	listener.WriteJSON(writer, http.StatusOK, struct{}{})
}

func (server *Server) serve(writer http.ResponseWriter, request *http.Request) {
	body, err := listener.ReadBody(writer, request, maxBodyBytes)
	if err != nil {
		listener.WriteError(writer, "", err)
		return
	}
	server.mutex.Lock()
	released, faults := server.released, server.faults
	server.mutex.Unlock()
	if released != nil {
		<-released
	}
	if faults.DelayMS > 0 {
		time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)
	}
	if server.announce(writer) {
		return
	}
	response, cut := server.execute(request, string(body))
	if cut {
		faulter.CloseConnection(writer)
		return
	}
	listener.WriteJSON(writer, http.StatusOK, response)
}

// announce adds to the response what the server says of itself, and returns whether it has refused the call.
func (server *Server) announce(writer http.ResponseWriter) (refused bool) {
	server.mutex.Lock()
	leaving, remaining := server.faults.Leaving, time.Until(server.awayUntil)
	server.mutex.Unlock()
	if leaving {
		writer.Header().Set(cranberryward.HeaderLeaving, "1")
	}
	if remaining <= 0 {
		return false
	}
	writer.Header().Set("Retry-After", strconv.FormatFloat(remaining.Seconds(), 'f', 3, 64))
	writer.Header().Set(cranberryward.HeaderVerdict, cranberryward.NotRun.String())
	writer.WriteHeader(http.StatusServiceUnavailable)
	return true
}

func (server *Server) execute(request *http.Request, body string) (response Response, cut bool) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.faults.Down || time.Now().Before(server.downUntil) {
		return response, true
	}
	response = Response{
		Service:   server.name,
		Method:    request.Method,
		Path:      request.URL.Path,
		Key:       request.Header.Get(cranberryward.HeaderIdempotencyKey),
		RequestID: request.Header.Get(cranberryward.HeaderRequestID),
		Execution: len(server.executions) + 1,
		Echo:      body,
	}
	server.executions = append(server.executions, cranberryward.ExecutionRecord{
		RequestID: response.RequestID,
		Key:       response.Key,
		Text:      body,
		Finished:  true,
	})
	if marker := server.faults.CrashMarker; marker != "" && strings.Contains(body, marker) {
		server.crashes++
		server.downUntil = time.Now().Add(time.Duration(server.faults.DownMS) * time.Millisecond)
		return response, true
	}
	if server.faults.LoseAnswers > 0 {
		server.faults.LoseAnswers--
		return response, true
	}
	return response, false
}
