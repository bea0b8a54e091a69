package storeserver

import (
	"maps"
	"slices"
	"time"
)

// Copy is what a store held at one time.
type Copy struct {
	revision, compactedRevision, nextID uint64
	items                               map[string]Item
	history                             []Item
	leases                              map[uint64]time.Duration
}

// Copy returns a copy of what the store holds.
func (server *Server) Copy() Copy {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	leases := map[uint64]time.Duration{}
	for id, lease := range server.leases {
		leases[id] = lease.ttl
	}
	return Copy{
		revision:          server.revision,
		compactedRevision: server.compactedRevision,
		nextID:            server.nextID,
		items:             maps.Clone(server.items),
		history:           slices.Clone(server.history),
		leases:            leases,
	}
}

// Restore replaces what the store holds by a copy and begins the next era, in which revisions and leases since the copy are given out again.
func (server *Server) Restore(copied Copy) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.era++
	server.revision, server.compactedRevision, server.nextID = copied.revision, copied.compactedRevision, copied.nextID
	server.items, server.history = maps.Clone(copied.items), slices.Clone(copied.history)
	for _, lease := range server.leases {
		lease.timer.Stop()
	}
	server.leases = map[uint64]*lease{}
	for id, ttl := range copied.leases {
		server.leases[id] = server.newLease(id, ttl)
	}
	close(server.changed)
	server.changed = make(chan struct{})
}
