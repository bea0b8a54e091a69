package router

import (
	"math/bits"
	"time"
)

func trailingZeros(mask uint64) int { return bits.TrailingZeros64(mask) }

// Request holds the properties of a model request that routing uses.
type Request struct {
	blocks      []uint64
	promptBytes int
	priority    int
	timeLeft    time.Duration
	sequence    uint64
	excluded    uint64
}

// NewRequest returns a request with the block hashes and length in bytes of its prompt, its priority and the time left until its deadline.
func NewRequest(blocks []uint64, promptBytes, priority int, timeLeft time.Duration) Request {
	return Request{
		blocks:      blocks,
		promptBytes: promptBytes,
		priority:    priority,
		timeLeft:    timeLeft,
	}
}

// Blocks returns the hashes of the prompt's blocks.
func (request Request) Blocks() []uint64 { return request.blocks }

// PromptBytes returns the prompt's length in bytes.
func (request Request) PromptBytes() int { return request.promptBytes }

// Excluding returns the request with the server excluded, so that policies do not choose it again.
func (request Request) Excluding(server int) Request {
	request.excluded |= 1 << server
	return request
}

// WithSequence returns the request with a sequence number that policies may use to spread load.
func (request Request) WithSequence(sequence uint64) Request {
	request.sequence = sequence
	return request
}

// Server is an entry's current information about one backend server.
type Server struct {
	Available     bool          `json:"available"`
	Share         float64       `json:"share"`
	ReportAge     time.Duration `json:"report_age"`
	Running       int           `json:"running"`
	Queued        int           `json:"queued"`
	Limit         int           `json:"limit"`
	PrefillBytes  int           `json:"prefill_bytes"`
	SentRequests  int           `json:"sent_requests"`
	SentBytes     int           `json:"sent_bytes"`
	Outstanding   int           `json:"outstanding"`
	BytesPerMilli float64       `json:"bytes_per_milli"`
	StepMicros    float64       `json:"step_micros"`
	EventAge      time.Duration `json:"event_age"`
	WaitMillis    float64       `json:"wait_millis"`
}

// Choice is the outcome of a routing decision.
type Choice struct {
	server          int
	hitBytes        int
	expectedLatency time.Duration
	reportAge       time.Duration
}

// Server returns the index of the chosen server, or -1 for none.
func (choice Choice) Server() int { return choice.server }

// HitBytes returns how many bytes of the prompt the server is predicted to have in its prefix cache.
func (choice Choice) HitBytes() int { return choice.hitBytes }

// ExpectedLatency returns the expected time until the first token.
func (choice Choice) ExpectedLatency() time.Duration { return choice.expectedLatency }

// ReportAge returns the age of the load report that the decision used.
func (choice Choice) ReportAge() time.Duration { return choice.reportAge }

// Policy chooses a server for a model request.
type Policy interface {
	// Choose returns the choice among the servers; its server is negative if none may take the request.
	Choose(request Request, servers []Server, index *PrefixIndex) Choice
}
