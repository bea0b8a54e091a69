package cranberryward

// Record is a key of the platform's key-value service with its value and the revision of its last write.
type Record struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

// Exists returns whether the key holds a value.
func (record Record) Exists() bool { return record.Revision != 0 }

// LeaseID identifies a lease granted by the platform's key-value service.
type LeaseID string

// Role is the kind of program that an instance runs.
type Role string

// The roles of instances.
const (
	RoleEntry   Role = "entry"
	RoleEngine  Role = "engine"
	RoleService Role = "service"
)

// Instance is one row of the platform's instance list.
type Instance struct {
	ID          string `json:"id"`
	Zone        string `json:"zone"`
	Role        Role   `json:"role"`
	Address     string `json:"address"`
	PeerAddress string `json:"peer_address"`
	Backend     string `json:"backend,omitempty"`
	Group       string `json:"group,omitempty"`
	Rank        int    `json:"rank"`
	Service     string `json:"service,omitempty"`
	Model       string `json:"model,omitempty"`
	Incarnation string `json:"incarnation"`
	Leaving     bool   `json:"leaving"`
}

// Membership is the instance list at one version.
type Membership struct {
	Version   uint64     `json:"version"`
	Instances []Instance `json:"instances"`
}

// Find returns the instance with the given id.
func (membership Membership) Find(id string) (Instance, bool) {
	for _, instance := range membership.Instances {
		if instance.ID == id {
			return instance, true
		}
	}
	return Instance{}, false
}

// Select returns the instances that satisfy the condition, in the order of the list.
func (membership Membership) Select(keep func(Instance) bool) []Instance {
	var kept []Instance
	for _, instance := range membership.Instances {
		if keep(instance) {
			kept = append(kept, instance)
		}
	}
	return kept
}

// WriteRequest is the body of a compare-and-swap on the key-value service.
type WriteRequest struct {
	Value    []byte  `json:"value"`
	Expected uint64  `json:"expected"`
	Lease    LeaseID `json:"lease,omitempty"`
}

// LeaseGrant is the body of a request for a lease, with its time to live, and of the response, with the granted lease.
type LeaseGrant struct {
	TTLMS int64   `json:"ttl_ms,omitempty"`
	Lease LeaseID `json:"lease,omitempty"`
}
