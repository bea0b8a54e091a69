package storeserver

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

const maxPageItems = 500

// Fault is how the store handles a call.
type Fault int

const (
	// FaultNone serves the call.
	FaultNone Fault = iota
	// FaultUnavailable responds with status 503 and does not serve the call.
	FaultUnavailable
	// FaultNoResponse neither serves the call nor responds.
	FaultNoResponse
	// FaultLostResponse serves the call and breaks the connection without a response.
	FaultLostResponse
)

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// Server is a store that keeps its items in memory; New returns one.
type Server struct {
	handler http.Handler

	mutex             sync.Mutex
	era               uint64
	revision          uint64
	items             map[string]Item
	history           []Item
	compactedRevision uint64
	leases            map[uint64]*lease
	nextID            uint64
	changed           chan struct{}
	fault             func(request *http.Request) Fault
	calls             map[string]int
}

// New returns an empty store.
func New() *Server {
	server := &Server{
		era:      1,
		revision: 1,
		items:    map[string]Item{},
		leases:   map[uint64]*lease{},
		changed:  make(chan struct{}),
		calls:    map[string]int{},
	}
	router := mux.NewRouter()
	router.HandleFunc("/v1/kv-key", server.handleGet).Methods(http.MethodGet)
	router.HandleFunc("/v1/kv-range", server.handleRange).Methods(http.MethodGet)
	router.HandleFunc("/v1/kv-watch", server.handleWatch).Methods(http.MethodGet)
	router.HandleFunc("/v1/kv-txn", server.handleTransaction).Methods(http.MethodPost)
	router.HandleFunc("/v1/kv-lease", server.handleGrant).Methods(http.MethodPost)
	router.HandleFunc("/v1/kv-keep/{id}", server.handleKeepAlive).Methods(http.MethodPost)
	router.HandleFunc("/v1/kv-lease-end/{id}", server.handleRevoke).Methods(http.MethodDelete)
	server.handler = router
	return server
}

// SetFault sets the function that chooses the fault of each call; it is called with the server's mutex held.
func (server *Server) SetFault(fault func(request *http.Request) Fault) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.fault = fault
}

// Calls returns the number of calls to a path.
func (server *Server) Calls(path string) int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.calls[path]
}

// Put writes a key as operators and backend servers do, also under the prefixes that transactions may not write.
func (server *Server) Put(key string, value []byte) uint64 {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.write(key, value, 0)
}

// Remove removes a key.
func (server *Server) Remove(key string) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.remove(key)
}

// Keys returns the keys that the store holds.
func (server *Server) Keys() []string {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return slices.Collect(maps.Keys(server.items))
}

// TotalCalls returns the number of all calls.
func (server *Server) TotalCalls() (count int) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for _, calls := range server.calls {
		count += calls
	}
	return count
}

// Compact drops the history up to the current revision, so that watches from earlier revisions fail with status 410.
func (server *Server) Compact() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.history, server.compactedRevision = nil, server.revision
}

// ServeHTTP serves a call or injects its fault.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	server.mutex.Lock()
	writer.Header().Set("Store-Era", strconv.FormatUint(server.era, 10))
	server.calls[request.URL.Path]++
	fault := FaultNone
	if server.fault != nil {
		fault = server.fault(request)
	}
	server.mutex.Unlock()
	switch fault {
	case FaultUnavailable:
		writer.WriteHeader(http.StatusServiceUnavailable)
	case FaultNoResponse:
		_, _ = io.Copy(io.Discard, request.Body) // net/http watches for the caller's leave once the body was read
		<-request.Context().Done()
	case FaultLostResponse:
		server.handler.ServeHTTP(&discardWriter{header: http.Header{}}, request)
		panic(http.ErrAbortHandler)
	default:
		server.handler.ServeHTTP(writer, request)
	}
}

type discardWriter struct{ header http.Header }

func (discardWriter *discardWriter) Header() http.Header            { return discardWriter.header }
func (discardWriter *discardWriter) Write(text []byte) (int, error) { return len(text), nil }
func (discardWriter *discardWriter) WriteHeader(int)                {}

func (server *Server) write(key string, value []byte, leaseID uint64) uint64 {
	server.revision++
	item := Item{
		Key:       key,
		Value:     value,
		Revision:  server.revision,
		CreateRev: server.revision,
		Lease:     leaseID,
	}
	if previous, exists := server.items[key]; exists {
		item.CreateRev = previous.CreateRev
	}
	server.items[key] = item
	server.appendHistory(item)
	return server.revision
}

func (server *Server) remove(key string) {
	if _, exists := server.items[key]; !exists {
		return
	}
	server.revision++
	delete(server.items, key)
	server.appendHistory(Item{
		Key:      key,
		Revision: server.revision,
		Deleted:  true,
	})
}

func (server *Server) appendHistory(item Item) {
	server.history = append(server.history, item)
	close(server.changed)
	server.changed = make(chan struct{})
}

func (server *Server) handleGet(writer http.ResponseWriter, request *http.Request) {
	server.mutex.Lock()
	item, exists := server.items[request.URL.Query().Get("Key")]
	server.mutex.Unlock()
	if !exists {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(writer, item)
}

func (server *Server) handleRange(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	server.mutex.Lock()
	defer server.mutex.Unlock()
	page := struct {
		Items     []Item
		Truncated bool
		At        uint64
	}{At: server.revision}
	keys := make([]string, 0, len(server.items))
	for key := range server.items {
		if strings.HasPrefix(key, query.Get("Prefix")) && key > query.Get("After") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	if len(keys) > maxPageItems {
		keys, page.Truncated = keys[:maxPageItems], true
	}
	for _, key := range keys {
		page.Items = append(page.Items, server.items[key])
	}
	writeJSON(writer, page)
}

func (server *Server) handleWatch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, err := strconv.ParseUint(query.Get("After"), 10, 64)
	if err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	waitMS, err := strconv.Atoi(query.Get("WaitMs"))
	if err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	for {
		events, at, changed, compacted := server.eventsSince(query.Get("Prefix"), after)
		if compacted {
			writer.WriteHeader(http.StatusGone)
			return
		}
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-request.Context().Done():
				return
			case <-timer.C:
			}
		}
		writeJSON(writer, map[string]any{"events": events, "At": at})
		return
	}
}

func (server *Server) eventsSince(prefix string, after uint64) (events []Item, at uint64, changed chan struct{}, compacted bool) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if after < server.compactedRevision || after > server.revision {
		return nil, 0, nil, true
	}
	events = []Item{}
	for _, item := range server.history {
		if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
			events = append(events, item)
		}
	}
	return events, server.revision, server.changed, false
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(writer).Encode(value); err != nil {
		panic(http.ErrAbortHandler)
	}
}
