package keyvalueserver

import (
	"fmt"
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
	maxWatchTime  = 30 * time.Second
)

type entry struct {
	record cranberryward.Record
	lease  cranberryward.LeaseID
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// Server is a key-value service that keeps its keys in memory.
type Server struct {
	mutex        sync.Mutex
	revision     uint64
	entries      map[string]entry
	leases       map[cranberryward.LeaseID]lease
	changed      chan struct{}
	faults       Faults
	counters     Counters
	writeLimiter *rate.Limiter
	readLimiter  *rate.Limiter
}

// New returns an empty service.
func New() *Server {
	return &Server{
		entries:      map[string]entry{},
		leases:       map[cranberryward.LeaseID]lease{},
		changed:      make(chan struct{}),
		writeLimiter: rate.NewLimiter(rate.Inf, 1),
		readLimiter:  rate.NewLimiter(rate.Inf, 1),
	}
}

// Handler returns the HTTP API described in docs/INTERFACES.md.
func (server *Server) Handler() http.Handler {
	router := mux.NewRouter().UseEncodedPath()
	router.HandleFunc("/v1/keys/{key}", server.withFaults(server.get)).Methods(http.MethodGet)
	router.HandleFunc("/v1/keys/{key}", server.withFaults(server.put)).Methods(http.MethodPut)
	router.HandleFunc("/v1/leases", server.withFaults(server.grant)).Methods(http.MethodPost)
	router.HandleFunc("/v1/leases/{lease}/keepalive", server.withFaults(server.keepAlive)).Methods(http.MethodPost)
	router.HandleFunc("/v1/leases/{lease}", server.withFaults(server.revoke)).Methods(http.MethodDelete)
	router.HandleFunc("/faults", server.setFaults).Methods(http.MethodPost)
	router.HandleFunc("/counters", server.showCounters).Methods(http.MethodGet)
	return router
}

// SetFaults replaces the injected faults.
func (server *Server) SetFaults(faults Faults) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.faults = faults
	server.writeLimiter.SetLimit(rateLimit(faults.WriteRate))
	server.readLimiter.SetLimit(rateLimit(faults.ReadRate))
	server.notifyWatches()
}

// rateLimit returns the limit for a rate, which is unlimited unless the rate is positive.
func rateLimit(perSecond float64) rate.Limit {
	if perSecond <= 0 {
		return rate.Inf
	}
	return rate.Limit(perSecond)
}

// Counters returns the number of calls since the start, by kind.
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

// withFaults applies the delay, the outages and the rate limits before it calls the handler.
func (server *Server) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		faults := server.currentFaults()
		if faults.DelayMS > 0 {
			time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)
		}
		isRead := request.Method == http.MethodGet
		if faults.Outage || (faults.OutageWrites && !isRead) {
			faulter.CloseConnection(writer)
			return
		}
		limiter := server.writeLimiter
		if isRead {
			limiter = server.readLimiter
		}
		if !limiter.Allow() {
			server.mutex.Lock()
			server.counters.Refused++
			server.mutex.Unlock()
			listener.WriteError(writer, "", cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonOverloaded, "rate limit of the key-value service exceeded"))
			return
		}
		next(writer, request)
	}
}

func (server *Server) notifyWatches() {
	close(server.changed)
	server.changed = make(chan struct{})
}

func (server *Server) expireLeases() {
	now := time.Now()
	for id, lease := range server.leases {
		if now.After(lease.expiresAt) {
			server.removeLease(id)
		}
	}
}

func (server *Server) removeLease(id cranberryward.LeaseID) {
	delete(server.leases, id)
	for key, entry := range server.entries {
		if entry.lease == id {
			delete(server.entries, key)
			server.revision++
			server.notifyWatches()
		}
	}
}

func requestKey(request *http.Request) string {
	key := mux.Vars(request)["key"]
	return strings.NewReplacer("%2F", "/", "%2f", "/").Replace(key)
}

func (server *Server) get(writer http.ResponseWriter, request *http.Request) {
	key := requestKey(request)
	after, waitMS, watching := watchParameters(request)
	deadline := time.NewTimer(min(time.Duration(waitMS)*time.Millisecond, maxWatchTime))
	defer deadline.Stop()
	server.mutex.Lock()
	if watching {
		server.counters.Watches++
	} else {
		server.counters.Reads++
	}
	for {
		server.expireLeases()
		record := server.entries[key].record
		record.Key = key
		changed, faults := server.changed, server.faults
		server.mutex.Unlock()
		if faults.Outage {
			faulter.CloseConnection(writer)
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

func watchParameters(request *http.Request) (after uint64, waitMS int64, watching bool) {
	query := request.URL.Query()
	if !query.Has("wait_ms") {
		return 0, 0, false
	}
	after, _ = strconv.ParseUint(query.Get("after"), 10, 64)
	waitMS, _ = strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	return after, waitMS, true
}

func (server *Server) put(writer http.ResponseWriter, request *http.Request) {
	key := requestKey(request)
	var writeRequest cranberryward.WriteRequest
	if err := listener.ReadJSON(writer, request, maxBodyBytes, &writeRequest); err != nil {
		listener.WriteError(writer, "", err)
		return
	}
	if len(writeRequest.Value) > maxValueBytes {
		message := fmt.Sprintf("value of key %s has %d bytes, more than the maximum of %d", key, len(writeRequest.Value), maxValueBytes)
		listener.WriteError(writer, "", cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonInvalid, message))
		return
	}
	status, record, lost := server.compareAndSwap(key, writeRequest)
	if lost {
		faulter.CloseConnection(writer)
		return
	}
	listener.WriteJSON(writer, status, record)
}

func (server *Server) compareAndSwap(key string, writeRequest cranberryward.WriteRequest) (status int, record cranberryward.Record, lost bool) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.counters.Writes++
	server.expireLeases()
	current := server.entries[key].record
	current.Key = key
	if current.Revision != writeRequest.Expected {
		return http.StatusConflict, current, false
	}
	if writeRequest.Lease != "" {
		if _, exists := server.leases[writeRequest.Lease]; !exists {
			return http.StatusConflict, current, false
		}
	}
	server.revision++
	record = cranberryward.Record{
		Key:      key,
		Value:    writeRequest.Value,
		Revision: server.revision,
	}
	server.entries[key] = entry{
		record: record,
		lease:  writeRequest.Lease,
	}
	server.notifyWatches()
	if server.faults.LoseAnswers > 0 && strings.HasPrefix(key, server.faults.LosePrefix) {
		server.faults.LoseAnswers--
		lost = true
	}
	return http.StatusOK, record, lost
}
