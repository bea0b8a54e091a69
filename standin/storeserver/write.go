package storeserver

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"
)

type transaction struct {
	Precondition []struct {
		Key      string
		Revision uint64
	}
	PutItems []struct {
		Key   string
		Value []byte
		Lease uint64
	}
	DeleteKeys []string
}

func (server *Server) handleTransaction(writer http.ResponseWriter, request *http.Request) {
	var transaction transaction
	if json.NewDecoder(request.Body).Decode(&transaction) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for _, condition := range transaction.Precondition {
		if server.items[condition.Key].Revision != condition.Revision {
			writer.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, put := range transaction.PutItems {
		if strings.HasPrefix(put.Key, "op/") || strings.HasPrefix(put.Key, "servers/") {
			writer.WriteHeader(http.StatusForbidden)
			return
		}
		if put.Lease != 0 && server.leases[put.Lease] == nil {
			writer.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, put := range transaction.PutItems {
		server.write(put.Key, put.Value, put.Lease)
	}
	for _, key := range transaction.DeleteKeys {
		server.remove(key)
	}
	writeJSON(writer, map[string]uint64{"Revision": server.revision})
}

func (server *Server) handleGrant(writer http.ResponseWriter, request *http.Request) {
	var grant struct {
		TTLMs int64 `json:"TtlMs"`
	}
	if json.NewDecoder(request.Body).Decode(&grant) != nil || grant.TTLMs <= 0 {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.nextID++
	id := server.nextID
	ttl := time.Duration(grant.TTLMs) * time.Millisecond
	server.leases[id] = server.newLease(id, ttl)
	writeJSON(writer, map[string]uint64{"Lease": id, "TtlMs": uint64(grant.TTLMs)})
}

// newLease returns a lease that ends after its time to live unless it has been replaced by then.
func (server *Server) newLease(id uint64, ttl time.Duration) *lease {
	granted := &lease{
		ttl: ttl,
	}
	granted.timer = time.AfterFunc(ttl, func() {
		server.mutex.Lock()
		current := server.leases[id] == granted
		server.mutex.Unlock()
		if current {
			server.ExpireLease(id)
		}
	})
	return granted
}

// ExpireLease ends a lease and removes its keys, as the end of its time to live does, and returns whether the lease existed.
func (server *Server) ExpireLease(id uint64) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	lease := server.leases[id]
	if lease == nil {
		return false
	}
	lease.timer.Stop()
	delete(server.leases, id)
	for key, item := range server.items {
		if item.Lease == id {
			server.remove(key)
		}
	}
	return true
}

func (server *Server) handleKeepAlive(writer http.ResponseWriter, request *http.Request) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	lease := server.leases[leaseID(request)]
	if lease == nil {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	lease.timer.Reset(lease.ttl)
	writeJSON(writer, map[string]int64{"TtlMs": lease.ttl.Milliseconds()})
}

func (server *Server) handleRevoke(writer http.ResponseWriter, request *http.Request) {
	if !server.ExpireLease(leaseID(request)) {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(writer, map[string]int64{})
}

// leaseID returns the lease id in the path, or zero, which no lease has, if it is not a number.
func leaseID(request *http.Request) uint64 {
	id, err := strconv.ParseUint(mux.Vars(request)["id"], 10, 64)
	if err != nil {
		return 0
	}
	return id
}
