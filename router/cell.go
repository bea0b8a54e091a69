package router

import (
	"sort"

	"github.com/cranberryward/cranberryward"
)

// MaxServers is the maximum number of backend servers that an entry routes among; PrefixIndex keeps one bit for each in a uint64.
const MaxServers = 64

const minServersPerCell = 24

// Subset returns the backend servers of the zone that an entry routes among; the larger the zone, the smaller its share, of which a pool holds at most
// MaxServers.
func Subset(membership cranberryward.Membership, zone, entry string, keep func(cranberryward.Instance) bool) []cranberryward.Instance {
	servers := membership.Select(func(instance cranberryward.Instance) bool {
		return instance.Zone == zone && keep(instance)
	})
	cells := cellCount(len(servers))
	if cells > 1 {
		cell := cellIndex(membership, zone, entry, cells)
		kept := servers[:0]
		for _, server := range servers {
			if cranberryward.RendezvousWeight(zone, server.ID)%cells == cell {
				kept = append(kept, server)
			}
		}
		servers = kept
	}
	return servers
}

// cellCount returns a power of two, so that a change of membership seldom moves servers between cells.
func cellCount(servers int) uint64 {
	cells := uint64(1)
	for int(cells)*2*minServersPerCell <= servers {
		cells *= 2
	}
	return cells
}

func cellIndex(membership cranberryward.Membership, zone, entry string, cells uint64) uint64 {
	entries := membership.Select(func(instance cranberryward.Instance) bool {
		return instance.Zone == zone && instance.Role == cranberryward.RoleEntry
	})
	sort.Slice(entries, func(i, j int) bool {
		return cranberryward.RendezvousWeight(zone, entries[i].ID) < cranberryward.RendezvousWeight(zone, entries[j].ID)
	})
	for i, instance := range entries {
		if instance.ID == entry {
			return uint64(i) % cells
		}
	}
	return cranberryward.RendezvousWeight(zone, entry) % cells
}
