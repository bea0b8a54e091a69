package weightserver

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/cranberryward/cranberryward/listener"
	"github.com/cranberryward/cranberryward/standin/faulter"
	"github.com/gorilla/mux"
	"golang.org/x/time/rate"
)

const (
	// ExpertBytes is the size in bytes of one expert's weights.
	ExpertBytes = 1 << 10
	burstBytes  = 64 << 10
)

// Faults are the faults to inject.
type Faults struct {
	Outage         bool  `json:"outage"`
	BytesPerSecond int64 `json:"bytes_per_second"`
}

// Counters count the fetches and the bytes served since the start.
type Counters struct {
	Fetches int64 `json:"fetches"`
	Bytes   int64 `json:"bytes"`
}

// Server serves zero-filled weights at a limited rate.
type Server struct {
	limiter *rate.Limiter
	fetches atomic.Int64
	bytes   atomic.Int64
	mutex   sync.Mutex
	faults  Faults
}

// New returns a server that serves the given number of bytes per second.
func New(bytesPerSecond int64) *Server {
	return &Server{
		limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), burstBytes),
	}
}

// Handler returns the HTTP API described in docs/INTERFACES.md.
func (server *Server) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/weights/{model}/{layer}", server.fetch).Methods(http.MethodGet)
	router.HandleFunc("/faults", server.setFaults).Methods(http.MethodPost)
	router.HandleFunc("/counters", func(writer http.ResponseWriter, _ *http.Request) {
		listener.WriteJSON(writer, http.StatusOK, server.Counters())
	}).Methods(http.MethodGet)
	return router
}

// SetFaults replaces the injected faults; a BytesPerSecond of zero keeps the rate.
func (server *Server) SetFaults(faults Faults) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.faults = faults
	if faults.BytesPerSecond > 0 {
		server.limiter.SetLimit(rate.Limit(faults.BytesPerSecond))
	}
}

// Counters returns the fetches and the bytes served since the start.
func (server *Server) Counters() Counters {
	return Counters{
		Fetches: server.fetches.Load(),
		Bytes:   server.bytes.Load(),
	}
}

func (server *Server) setFaults(writer http.ResponseWriter, request *http.Request) {
	var faults Faults
	if err := listener.ReadJSON(writer, request, burstBytes, &faults); err != nil {
		listener.WriteError(writer, "", err)
		return
	}
	server.SetFaults(faults)
	listener.WriteJSON(writer, http.StatusOK, faults)
}

func (server *Server) fetch(writer http.ResponseWriter, request *http.Request) {
	server.mutex.Lock()
	outage := server.faults.Outage
	server.mutex.Unlock()
	if outage {
		faulter.CloseConnection(writer)
		return
	}
	server.fetches.Add(1)
	weights := make([]byte, ExpertBytes)
	for range strings.Split(request.URL.Query().Get("experts"), ",") {
		if err := server.limiter.WaitN(request.Context(), ExpertBytes); err != nil {
			return
		}
		if _, err := writer.Write(weights); err != nil {
			return
		}
		server.bytes.Add(ExpertBytes)
	}
}
