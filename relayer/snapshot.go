package relayer

import (
	"maps"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/cranberryward/cranberryward"
)

// newSnapshot returns a snapshot of a view, with the digest of its content.
func newSnapshot(view cranberryward.View) *Snapshot {
	return &Snapshot{
		View:    view,
		Content: digest(view),
	}
}

func digest(view cranberryward.View) uint64 {
	servers := view.Servers
	ids := make([]string, 0, len(servers))
	for id := range servers {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	hash := xxhash.New()
	write := func(text string) {
		_, _ = hash.WriteString(text) // never fails, as its documentation states
		_, _ = hash.Write([]byte{0})
	}
	if view.Era != 0 { // without eras, processes of earlier builds compute the same digest
		_, _ = hash.Write(littleEndian(view.Era))
	}
	if view.Deployment != nil {
		if view.Deployment.Era != view.Era {
			_, _ = hash.Write(littleEndian(view.Deployment.Era))
		}
		_, _ = hash.Write(littleEndian(view.Deployment.Revision))
	}
	for _, id := range ids {
		server := servers[id]
		write(id)
		write(server.Service)
		write(server.Address)
		write(server.Zone)
		_, _ = hash.Write(littleEndian(uint64(server.Slots)))
		if server.Leaving {
			write("leaving")
		}
		if server.Cold > 0 { // whether it is cold, and not for how much longer, which changes with each heartbeat
			write("cold")
		}
		if server.Born != 0 {
			_, _ = hash.Write(littleEndian(uint64(server.Born)))
		}
	}
	for _, key := range slices.Sorted(maps.Keys(view.Quarantines)) {
		write(key)
		_, _ = hash.Write(littleEndian(view.Quarantines[key].Revision))
	}
	for _, zone := range slices.Sorted(maps.Keys(view.Evacuated)) {
		write("evacuated")
		write(zone)
		_, _ = hash.Write(littleEndian(view.Evacuated[zone]))
	}
	return hash.Sum64()
}

func littleEndian(value uint64) []byte {
	bytes := make([]byte, 8)
	for i := range bytes {
		bytes[i] = byte(value >> (8 * i))
	}
	return bytes
}

// unknownCount marks a backend server whose load was not observed.
const unknownCount = 255

// serviceIDs returns the sorted IDs of a service's backend servers.
func (snapshot *Snapshot) serviceIDs(service string) []string {
	var ids []string
	for id, server := range snapshot.Servers {
		if server.Service == service {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// version returns the version of the configuration, or zero if there is none.
func (snapshot *Snapshot) version() uint64 {
	if snapshot.Deployment == nil {
		return 0
	}
	return snapshot.Deployment.Version
}

// combine returns the snapshot to hold after the given one, nil for none, when another one arrives: the one of the later position, with the configuration that
// supersedes the other.
func combine(before, next *Snapshot) *Snapshot {
	if before == nil {
		return next
	}
	later, earlier := next, before
	if next.Position().Before(before.Position()) {
		later, earlier = before, next
	}
	if !earlier.Deployment.Supersedes(later.Deployment) {
		return later
	}
	view := later.View
	view.Deployment = earlier.Deployment
	return newSnapshot(view)
}
