package cranberryward

import "time"

// WhereQuestion asks where a request would go now.
type WhereQuestion struct {
	Host   string
	Path   string
	Method string
	Key    string
	// BodyBytes is the length of the body, whose content is not known.
	BodyBytes int64
	// PromptParts are as in RequestMetadata.
	PromptParts []string
	// Remaining is the time until the caller's deadline, or zero if not given.
	Remaining time.Duration
}

// The decisions of an entry on a request.
const (
	WhereNow = "now"
	// WhereWait is that no backend server has a permit yet, and WhereHold that the group is about to open.
	WhereWait = "wait"
	WhereHold = "hold"
	// WhereProbe is that a quarantine has ended, and that the request is sent if it is the first of all entries to probe it.
	WhereProbe   = "probe"
	WhereRefused = "refused"
)

// WhereDecision is what an entry would do with a request; times are in milliseconds.
type WhereDecision struct {
	Decision     string `json:"decision"`
	Reason       string `json:"reason,omitempty"`
	Status       int    `json:"status,omitempty"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	WaitMS       int64  `json:"wait_ms,omitempty"`
}

// WhereAnswer is where a request would go now, and what the entry believed when it decided that.
type WhereAnswer struct {
	Entry         string `json:"entry"`
	Zone          string `json:"zone"`
	Version       uint64 `json:"configuration_version"`
	Revision      uint64 `json:"configuration_revision"`
	SnapshotAgeMS int64  `json:"snapshot_age_ms"`
	Route         string `json:"route,omitempty"`
	Workspace     string `json:"workspace,omitempty"`
	// Refusal is set if the request is refused before a service is chosen.
	Refusal  *WhereDecision `json:"refusal,omitempty"`
	Services []WhereService `json:"services,omitempty"`
}

// WhereService is the decision for one service of the traffic split of the route.
type WhereService struct {
	WhereDecision
	Service string `json:"service"`
	// Weight is that of the service in the split.
	Weight      float64           `json:"weight"`
	Quarantines []WhereQuarantine `json:"quarantines,omitempty"`
	Loads       []WhereLoad       `json:"loads,omitempty"`
	Servers     []WhereServer     `json:"servers,omitempty"`
}

// WhereQuarantine is a quarantined part of the prompt, or the whole request.
type WhereQuarantine struct {
	Part        string `json:"part"`
	RemainingMS int64  `json:"remaining_ms"`
	ProbeDue    bool   `json:"probe_due"`
}

// WhereLoad is the age of the last report of a group's loads.
type WhereLoad struct {
	Group string `json:"group"`
	AgeMS int64  `json:"age_ms"`
}

// WhereServer is a backend server of the service.
type WhereServer struct {
	Server    string `json:"server"`
	Zone      string `json:"zone"`
	OtherZone bool   `json:"other_zone"`
	// Reason is why it gets nothing or less, and EndsInMS when that ends, or zero if that is not known.
	Reason   string `json:"reason,omitempty"`
	EndsInMS int64  `json:"ends_in_ms,omitempty"`
	InFlight int    `json:"in_flight"`
	Slots    int    `json:"slots"`
	// Share is how often it was chosen, from 0 to 1, of the times that the choice was drawn.
	Share float64 `json:"share"`
}

// Served returns whether no service of the split would refuse the request.
func (whereAnswer WhereAnswer) Served() bool {
	for _, service := range whereAnswer.Services {
		if service.Decision == WhereRefused {
			return false
		}
	}
	return whereAnswer.Refusal == nil && len(whereAnswer.Services) > 0
}
