package cranberryward

import "time"

// RequestMetadata holds the values that the load balancer takes from the headers of a caller's request.
type RequestMetadata struct {
	ID  string
	Key string
	// Remaining is the caller's timeout from the request's arrival, or zero if not given.
	Remaining    time.Duration
	LastEventID  string
	PromptTokens int
	// PromptParts are the IDs of the parts of the prompt, in order; the last one belongs to the request or its session.
	PromptParts []string
	// OutputTokens limits the response; ExpectedTokens is the caller's estimate of it, or zero if not given.
	OutputTokens   int
	ExpectedTokens int
}

// SharedParts returns the IDs of the parts that other requests may share: all but the last one.
func (requestMetadata RequestMetadata) SharedParts() []string {
	return requestMetadata.PromptParts[:max(len(requestMetadata.PromptParts)-1, 0)]
}

// BackendRequest holds the values that the load balancer adds to a caller's request for one backend server.
type BackendRequest struct {
	Instance  string
	Workspace string
	Remaining time.Duration
	// Urgency is from 0, the most urgent, to 9; a negative value selects the backend server's own default.
	Urgency     int
	LastEventID string
	BodyBytes   int
}

// ServerLoad is the load that a backend server reports with a response.
type ServerLoad struct {
	Running int
	Waiting int
	Slots   int
	Known   bool
}

// ResponseMetadata holds the values that the load balancer takes from the headers of a backend server's response.
type ResponseMetadata struct {
	RequestID string
	Signed    bool
	Encoded   bool
	NotRun    bool
	Load      ServerLoad
	// RequestLimit is the number of requests a second that the backend server takes from all entries together, or negative if it names none.
	RequestLimit float64
	// Leaving is whether the backend server says that it will end.
	Leaving bool
	// StayAway is how long a backend server that refused the request asks this process to send it nothing, or zero.
	StayAway time.Duration
	// Unreadable is a quoted value that is no such time, or empty.
	Unreadable string
	// Cold is how long the backend server says that it stays cold; it is set in answers to health checks only, where ColdKnown is true.
	Cold      time.Duration
	ColdKnown bool
}

// LimitReport is a limit that a backend server named in an answer to the sender, or its end.
type LimitReport struct {
	Server string `json:"server"`
	// Limit is the number of requests a second from all entries together, or negative if the backend server names none any more.
	Limit float64 `json:"limit"`
	AgeMS int64   `json:"age_ms"`
	// NamedAgeMS is how long ago the backend server first named a limit, after none.
	NamedAgeMS int64 `json:"named_age_ms,omitempty"`
}

// RankReport is the state that one rank of a lock-step group reports.
type RankReport struct {
	Group string
	// Epoch increases each time the group re-forms, which resets it to map 0 with nothing prepared, armed or held.
	Epoch uint64
	Rank  int
	Open  bool
	Size  int
	// Orders counts the orders that began a change since the rank's start.
	Orders uint64
	// Step is the number of the last pass that was begun.
	Step     uint64
	Map      uint64
	Prepared uint64
	Armed    uint64
	// Held is the pass before which the group is held, or zero.
	Held    uint64
	Running int
	Waiting int
	Pace    float64
	// Born is the rank's start time in Unix milliseconds.
	Born int64
}

// RankOrderKind is what an order asks of a rank.
type RankOrderKind int

// The kinds of orders to a rank.
const (
	RankPrepare RankOrderKind = iota + 1
	RankArm
	RankDisarm
	RankHold
	RankRelease
)

// String returns the name of the kind.
func (rankOrderKind RankOrderKind) String() string {
	names := [...]string{"unknown", "prepare", "arm", "disarm", "hold", "release"}
	if rankOrderKind < 0 || int(rankOrderKind) >= len(names) {
		return names[0]
	}
	return names[rankOrderKind]
}

// RankOrder asks a rank to change its state, on condition that its epoch and its count of orders are still those given.
type RankOrder struct {
	Kind    RankOrderKind
	Epoch   uint64
	Orders  uint64
	Version uint64
	Step    uint64
	Map     [][][]int
}

// OrderOutcome is what the sender knows about the effect of an order to a rank.
type OrderOutcome int

// The zero value is OrderUnknown: the order may have been carried out, or may still be carried out later.
const (
	OrderUnknown OrderOutcome = iota
	// OrderAccepted means that the order has begun or that its result was already in place.
	OrderAccepted
	// OrderRefused means that the order did not fit the rank's state and had no effect.
	OrderRefused
)
