package listserver

import (
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/listener"
	"github.com/cranberryward/cranberryward/standin/faulter"
	"github.com/gorilla/mux"
)

const maxBodyBytes = 64 << 10

// Faults are the faults to inject.
type Faults struct {
	Outage bool  `json:"outage"`
	LagMS  int64 `json:"lag_ms"`
}

type snapshot struct {
	at         time.Time
	membership cranberryward.Membership
}

// Server keeps the instance list in memory and serves it with a lag.
type Server struct {
	mutex     sync.Mutex
	instances map[string]cranberryward.Instance
	version   uint64
	history   []snapshot
	faults    Faults
}

// New returns a server with an empty list.
func New() *Server {
	return &Server{
		instances: map[string]cranberryward.Instance{},
		version:   1,
		history:   []snapshot{{membership: cranberryward.Membership{Version: 1}}},
	}
}

// Handler returns the HTTP API described in docs/INTERFACES.md.
func (server *Server) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/instances", server.list).Methods(http.MethodGet)
	router.HandleFunc("/v1/instances/{id}", server.register).Methods(http.MethodPut)
	router.HandleFunc("/v1/instances/{id}", server.deregister).Methods(http.MethodDelete)
	router.HandleFunc("/faults", server.setFaults).Methods(http.MethodPost)
	return router
}

// SetFaults replaces the injected faults.
func (server *Server) SetFaults(faults Faults) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.faults = faults
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

// Put adds or replaces an instance.
func (server *Server) Put(instance cranberryward.Instance) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.instances[instance.ID] == instance {
		return
	}
	server.instances[instance.ID] = instance
	server.recordSnapshot()
}

// Remove removes an instance.
func (server *Server) Remove(id string) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if _, ok := server.instances[id]; !ok {
		return
	}
	delete(server.instances, id)
	server.recordSnapshot()
}

func (server *Server) recordSnapshot() {
	server.version++
	instances := make([]cranberryward.Instance, 0, len(server.instances))
	for _, instance := range server.instances {
		instances = append(instances, instance)
	}
	sort.Slice(instances, func(i, j int) bool { return instances[i].ID < instances[j].ID })
	server.history = append(server.history, snapshot{
		at: time.Now(),
		membership: cranberryward.Membership{
			Version:   server.version,
			Instances: instances,
		},
	})
}

func (server *Server) visibleMembership() (cranberryward.Membership, bool) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	visibleUntil := time.Now().Add(-time.Duration(server.faults.LagMS) * time.Millisecond)
	latest := server.history[0].membership
	for _, snapshot := range server.history {
		if !snapshot.at.After(visibleUntil) {
			latest = snapshot.membership
		}
	}
	return latest, server.faults.Outage
}

func (server *Server) list(writer http.ResponseWriter, request *http.Request) {
	membership, outage := server.visibleMembership()
	if outage {
		faulter.CloseConnection(writer)
		return
	}
	if known := request.URL.Query().Get("known"); known == strconv.FormatUint(membership.Version, 10) {
		membership.Instances = nil
	}
	if zone := request.URL.Query().Get("zone"); zone != "" {
		membership.Instances = membership.Select(func(instance cranberryward.Instance) bool { return instance.Zone == zone })
	}
	if service := request.URL.Query().Get("service"); service != "" {
		membership.Instances = membership.Select(func(instance cranberryward.Instance) bool { return instance.Service == service })
	}
	listener.WriteJSON(writer, http.StatusOK, membership)
}

func (server *Server) hasOutage() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.faults.Outage
}

func (server *Server) register(writer http.ResponseWriter, request *http.Request) {
	if server.hasOutage() {
		faulter.CloseConnection(writer)
		return
	}
	var instance cranberryward.Instance
	if err := listener.ReadJSON(writer, request, maxBodyBytes, &instance); err != nil {
		listener.WriteError(writer, "", err)
		return
	}
	instance.ID = mux.Vars(request)["id"]
	server.Put(instance)
	listener.WriteJSON(writer, http.StatusOK, instance)
}

func (server *Server) deregister(writer http.ResponseWriter, request *http.Request) {
	if server.hasOutage() {
		faulter.CloseConnection(writer)
		return
	}
	server.Remove(mux.Vars(request)["id"])
	listener.WriteJSON(writer, http.StatusOK, cranberryward.Instance{ID: mux.Vars(request)["id"]})
}
