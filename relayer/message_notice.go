package relayer

import (
	"time"

	"github.com/cranberryward/cranberryward"
)

// Snapshot is what the store held at a revision, read by one process and copied by others; it is immutable.
type Snapshot struct {
	cranberryward.View
	// Content is a digest that is equal for snapshots that differ by heartbeats only.
	Content uint64
}

// Notice is the message in which a process tells its peers the state of its snapshot and its load.
type Notice struct {
	From     string `json:"from"`
	Instance string `json:"instance"`
	Entry    bool   `json:"entry,omitempty"`
	Zone     string `json:"zone"`
	At       uint64 `json:"at"`
	// Era is the era of the store to which At belongs.
	Era uint64 `json:"era,omitempty"`
	// Version is the version of the sender's configuration.
	Version uint64   `json:"version,omitempty"`
	AgeMS   int64    `json:"age_ms"`
	Content uint64   `json:"content"`
	Peers   []string `json:"peers,omitempty"`
	// Entries is the number of live entries in the sender's availability zone.
	Entries int `json:"entries,omitempty"`
	// AgeOnly means that the notice is about the snapshot only, and that its recipients keep the rest of the sender's previous notice.
	AgeOnly bool `json:"age_only,omitempty"`
	// Running counts this entry's requests at each backend server, by ID.
	Running map[string]int `json:"running,omitempty"`
	// Group is the state of the group of the rank next to this agent.
	Group *cranberryward.GroupState `json:"group,omitempty"`
	// Crashed is sent by earlier builds and ignored; Parts tells of requests too.
	Crashed map[string]int `json:"crashed,omitempty"`
	// Parts tells what the sender knows about prompt parts and requests that may crash backend servers.
	Parts []cranberryward.PartReport `json:"parts,omitempty"`
	// Limits tells the limits that backend servers have named to the sender.
	Limits []cranberryward.LimitReport `json:"limits,omitempty"`
	// Spread is set if the notice is to be forwarded.
	Spread *Spread `json:"spread,omitempty"`
	// Busy is the load of a service's backend servers.
	Busy *ServiceLoad `json:"busy,omitempty"`
}

// position returns the position of the sender's snapshot.
func (notice Notice) position() cranberryward.Position {
	return cranberryward.Position{
		Era:      notice.Era,
		Revision: notice.At,
	}
}

// ServiceLoad counts the requests at each backend server of a service, ordered by ID in the snapshot with the notice's content.
type ServiceLoad struct {
	Service string `json:"service"`
	// Group is the name of the group whose controller reports; it leaves out the backend servers of other groups.
	Group string `json:"group,omitempty"`
	// Counts has one byte for each backend server; 255 means that the count is unknown.
	Counts []byte `json:"counts"`
	// Spared holds the indexes of those that are to run no requests, as they would hold up their group.
	Spared []int `json:"spared,omitempty"`
	// Limit is the largest number of requests that each of them should have, or zero if it is unknown.
	Limit int `json:"limit,omitempty"`
}

// FetchRequest asks a peer for its snapshot.
type FetchRequest struct {
	// Deployment is the revision of the requester's configuration, or zero if it has none, and DeploymentEra the era in which it was given out.
	Deployment    uint64
	DeploymentEra uint64
	// Content is the digest of the requester's snapshot, or zero if it has none.
	Content uint64
}

// FetchReply is a peer's snapshot with its age.
type FetchReply struct {
	Belief *Snapshot
	Age    time.Duration
	// SameDeployment means that the configuration is omitted because the requester has it.
	SameDeployment bool
	// ChangesOnly means that the backend servers are omitted: they are those of the requester's snapshot with Changed and Removed applied.
	ChangesOnly bool
	Changed     map[string]cranberryward.BackendServer
	Removed     map[string]bool
}
