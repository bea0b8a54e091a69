package keyvalueserver

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/listener"
	"github.com/gorilla/mux"
)

func (server *Server) grant(writer http.ResponseWriter, request *http.Request) {
	var grant cranberryward.LeaseGrant
	if err := listener.ReadJSON(writer, request, maxBodyBytes, &grant); err != nil {
		listener.WriteError(writer, "", err)
		return
	}
	ttl := time.Duration(grant.TTLMS) * time.Millisecond
	server.mutex.Lock()
	server.counters.Leases++
	server.revision++
	grant.Lease = cranberryward.LeaseID(strconv.FormatUint(server.revision, 10))
	server.leases[grant.Lease] = lease{
		ttl:       ttl,
		expiresAt: time.Now().Add(ttl),
	}
	server.mutex.Unlock()
	listener.WriteJSON(writer, http.StatusOK, grant)
}

func (server *Server) keepAlive(writer http.ResponseWriter, request *http.Request) {
	id := cranberryward.LeaseID(mux.Vars(request)["lease"])
	server.mutex.Lock()
	server.counters.Leases++
	server.expireLeases()
	lease, ok := server.leases[id]
	if ok {
		lease.expiresAt = time.Now().Add(lease.ttl)
		server.leases[id] = lease
	}
	server.mutex.Unlock()
	if !ok {
		listener.WriteError(writer, "", cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonNotFound, "lease "+string(id)+" has expired or was revoked"))
		return
	}
	listener.WriteJSON(writer, http.StatusOK, cranberryward.LeaseGrant{Lease: id})
}

func (server *Server) revoke(writer http.ResponseWriter, request *http.Request) {
	id := cranberryward.LeaseID(mux.Vars(request)["lease"])
	server.mutex.Lock()
	server.counters.Leases++
	server.removeLease(id)
	server.mutex.Unlock()
	listener.WriteJSON(writer, http.StatusOK, cranberryward.LeaseGrant{Lease: id})
}
