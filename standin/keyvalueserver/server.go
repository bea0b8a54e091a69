package keyvalueserver

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
	"golang.org/x/time/rate"
)

const (
	maxValueBytes = 1 << 20
	maxBodyBytes  = 2 << 20
	maxWatch      = 30 * time.Second
)

type entry struct {
	record cranberryward.Record
	lease  cranberryward.LeaseID
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Server keeps keys in memory.
type Server struct {
	mutex    sync.Mutex
	revision uint64
	entries  map[string]entry
	leases   map[cranberryward.LeaseID]lease
	changed  chan struct{}
	faults   Faults
	counters Counters
	writes   *rate.Limiter
	reads    *rate.Limiter
}

// New returns an empty service.
func New() *Server {
	return &Server{
		entries: map[string]entry{},
		leases:  map[cranberryward.LeaseID]lease{},
		changed: make(chan struct{}),
		writes:  rate.NewLimiter(rate.Inf, 1),
		reads:   rate.NewLimiter(rate.Inf, 1),
	}
}

// Handler returns the HTTP interface of docs/INTERFACES.md.
func (server *Server) Handler() http.Handler {
	router := mux.NewRouter().UseEncodedPath()
	router.HandleFunc("/v1/keys/{key}", server.gate(server.get)).Methods(http.MethodGet)
	router.HandleFunc("/v1/keys/{key}", server.gate(server.put)).Methods(http.MethodPut)
	router.HandleFunc("/v1/leases", server.gate(server.grant)).Methods(http.MethodPost)
	router.HandleFunc("/v1/leases/{lease}/keepalive", server.gate(server.keepAlive)).Methods(http.MethodPost)
	router.HandleFunc("/v1/leases/{lease}", server.gate(server.revoke)).Methods(http.MethodDelete)
	router.HandleFunc("/faults", server.setFaults).Methods(http.MethodPost)
	router.HandleFunc("/counters", server.showCounters).Methods(http.MethodGet)
	return router
}

// SetFaults replaces the faults that the service shows.
func (server *Server) SetFaults(faults Faults) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.faults = faults
	server.writes.SetLimit(limitOf(faults.WriteRate))
	server.reads.SetLimit(limitOf(faults.ReadRate))
	server.wake()
}

func limitOf(perSecond float64) rate.Limit {
	if perSecond <= 0 {
		return rate.Inf
	}
	return rate.Limit(perSecond)
}

// Counters returns the calls counted since the start.
func (server *Server) Counters() Counters {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.counters
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

func (server *Server) showCounters(writer http.ResponseWriter, _ *http.Request) {
	listener.WriteJSON(writer, http.StatusOK, server.Counters())
}

func (server *Server) currentFaults() Faults {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.faults
}

func (server *Server) gate(next http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		faults := server.currentFaults()
		if faults.DelayMS > 0 {
			time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)
		}
		reading := request.Method == http.MethodGet
		if faults.Outage || (faults.OutageWrites && !reading) {
			faulter.Cut(writer)
			return
		}
		limiter := server.writes
		if reading {
			limiter = server.reads
		}
		if !limiter.Allow() {
			server.mutex.Lock()
			server.counters.Refused++
			server.mutex.Unlock()
			listener.WriteError(writer, "", cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonOverloaded, "key-value service is over its rate"))
			return
		}
		next(writer, request)
	}
}

func (server *Server) wake() {
	close(server.changed)
	server.changed = make(chan struct{})
}

func (server *Server) expire() {
	now := time.Now()
	for id, held := range server.leases {
		if now.After(held.expires) {
			server.drop(id)
		}
	}
}

func (server *Server) drop(id cranberryward.LeaseID) {
	delete(server.leases, id)
	for key, entry := range server.entries {
		if entry.lease == id {
			delete(server.entries, key)
			server.revision++
			server.wake()
		}
	}
}

func keyOf(request *http.Request) string {
	key := mux.Vars(request)["key"]
	return strings.NewReplacer("%2F", "/", "%2f", "/").Replace(key)
}

func (server *Server) get(writer http.ResponseWriter, request *http.Request) {
	key := keyOf(request)
	after, waitMS, watching := watchOf(request)
	deadline := time.NewTimer(min(time.Duration(waitMS)*time.Millisecond, maxWatch))
	defer deadline.Stop()
	server.mutex.Lock()
	if watching {
		server.counters.Watches++
	} else {
		server.counters.Reads++
	}
	for {
		server.expire()
		record := server.entries[key].record
		record.Key = key
		changed, faults := server.changed, server.faults
		server.mutex.Unlock()
		if faults.Outage {
			faulter.Cut(writer)
			return
		}
		if !watching || (record.Revision > after && !faults.SkipWatches) {
			listener.WriteJSON(writer, http.StatusOK, record)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			watching = false
		case <-request.Context().Done():
			return
		}
		server.mutex.Lock()
	}
}

func watchOf(request *http.Request) (after uint64, waitMS int64, watching bool) {
	query := request.URL.Query()
	if !query.Has("wait_ms") {
		return 0, 0, false
	}
	after, _ = strconv.ParseUint(query.Get("after"), 10, 64)
	waitMS, _ = strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	return after, waitMS, true
}

func (server *Server) put(writer http.ResponseWriter, request *http.Request) {
	key := keyOf(request)
	var write cranberryward.WriteRequest
	if err := listener.ReadJSON(writer, request, maxBodyBytes, &write); err != nil {
		listener.WriteError(writer, "", err)
		return
	}
	if len(write.Value) > maxValueBytes {
		listener.WriteError(writer, "", cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonInvalid, "value of key "+key+" is larger than a megabyte"))
		return
	}
	status, record, lost := server.swap(key, write)
	if lost {
		faulter.Cut(writer)
		return
	}
	listener.WriteJSON(writer, status, record)
}

func (server *Server) swap(key string, write cranberryward.WriteRequest) (status int, record cranberryward.Record, lost bool) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.counters.Writes++
	server.expire()
	present := server.entries[key].record
	present.Key = key
	if present.Revision != write.Expected {
		return http.StatusConflict, present, false
	}
	if write.Lease != "" {
		if _, held := server.leases[write.Lease]; !held {
			return http.StatusConflict, present, false
		}
	}
	server.revision++
	record = cranberryward.Record{
		Key:      key,
		Value:    write.Value,
		Revision: server.revision,
	}
	server.entries[key] = entry{
		record: record,
		lease:  write.Lease,
	}
	server.wake()
	if server.faults.LoseAnswers > 0 && strings.HasPrefix(key, server.faults.LosePrefix) {
		server.faults.LoseAnswers--
		lost = true
	}
	return http.StatusOK, record, lost
}
