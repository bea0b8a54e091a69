package distributor

import (
	"sort"

	"github.com/cranberryward/cranberryward"
)

const (
	rootCount = 2
	fanOut    = 8
)

// EntryInstances returns the entries of the zone ordered by rendezvous weight; the first ones are the roots of the tree.
func EntryInstances(membership cranberryward.Membership, zone string) []cranberryward.Instance {
	entries := membership.Select(func(instance cranberryward.Instance) bool {
		return instance.Zone == zone && instance.Role == cranberryward.RoleEntry
	})
	sortByWeight(entries, zone)
	return entries
}

func sortByWeight(instances []cranberryward.Instance, key string) {
	sort.Slice(instances, func(i, j int) bool {
		a, b := cranberryward.RendezvousWeight(key, instances[i].ID), cranberryward.RendezvousWeight(key, instances[j].ID)
		if a != b {
			return a > b
		}
		return instances[i].ID < instances[j].ID
	})
}

// IsRoot returns whether the entry is a root, which watches the platform for its zone; an entry that is not listed counts as a root.
func IsRoot(membership cranberryward.Membership, zone, id string) bool {
	for i, entry := range EntryInstances(membership, zone) {
		if entry.ID == id {
			return i < rootCount
		}
	}
	return true
}

// Parents returns the entries that a process pulls from, in order of preference.
func Parents(membership cranberryward.Membership, zone, id string) []cranberryward.Instance {
	entries := EntryInstances(membership, zone)
	position := -1
	for i, entry := range entries {
		if entry.ID == id {
			position = i
		}
	}
	if position >= 0 && position < rootCount {
		return nil
	}
	if position < 0 {
		sortByWeight(entries, id)
		return entries
	}
	parent := (position - rootCount) / fanOut
	parents := []cranberryward.Instance{entries[parent]}
	for i := range min(rootCount, len(entries)) {
		if i != parent {
			parents = append(parents, entries[i])
		}
	}
	return parents
}
