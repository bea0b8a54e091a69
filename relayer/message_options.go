package relayer

import (
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/go-kit/log"
)

// Options configure a relayer.
type Options struct {
	Instance string
	Zone     string
	Address  string
	Entry    bool
	Seeds    []string
	// RefreshAge is the age of the snapshot at which the process reads the store itself; a read by another process resets the age.
	RefreshAge time.Duration
	// PeerCandidates returns addresses at which peers may be reached, derived from a snapshot.
	PeerCandidates func(snapshot *Snapshot) []string
	// OnChange is called, in order, with each snapshot whose content differs from the previous one.
	OnChange func(before, now *Snapshot)
	// OnReading is called before it with the times at which the store was read for the two snapshots, each the latest at which it still held that content, and zero
	// for none.
	OnReading func(before, now time.Time)
	// InFlightByServer returns the number of this entry's requests at each backend server, by ID.
	InFlightByServer func() map[string]int
	// OnLoad is called with the load of a group that its controller announces.
	OnLoad func(load cranberryward.GroupLoad)
	// OnParts is called with what another entry reports on prompt parts that may crash backend servers.
	OnParts func(parts []cranberryward.PartReport)
	// OnEntryStarting is called with the address of an entry that has no snapshot yet.
	OnEntryStarting func(address string)
	// OnLimits is called with the limits that backend servers have named to another entry.
	OnLimits func(limits []cranberryward.LimitReport)
	// OnNotice is called with every other notice of a peer.
	OnNotice func(notice Notice)
	Logger   log.Logger
}
