package router

import (
	"math/bits"
	"time"
)

func trailingZeros(mask uint64) int { return bits.TrailingZeros64(mask) }

// Request is what routing needs to know of a model request.
type Request struct {
	blocks   []uint64
	prompt   int
	priority int
	slack    time.Duration
	sequence uint64
	excluded uint64
}

// NewRequest returns a request with its prompt's blocks, its prompt length in bytes, its priority and the time left until its deadline.
func NewRequest(blocks []uint64, prompt, priority int, slack time.Duration) Request {
	return Request{
		blocks:   blocks,
		prompt:   prompt,
		priority: priority,
		slack:    slack,
	}
}

// Blocks returns the hashes of the prompt's blocks.
func (request Request) Blocks() []uint64 { return request.blocks }

// Bytes returns the prompt's length in bytes.
func (request Request) Bytes() int { return request.prompt }

// Without returns the request with a server that it must not be sent to again.
func (request Request) Without(server int) Request {
	request.excluded |= 1 << server
	return request
}

// Numbered returns the request with a number that policies may use to spread load.
func (request Request) Numbered(sequence uint64) Request {
	request.sequence = sequence
	return request
}

// Server is what an entry knows of one backend server.
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
	server    int
	hit       int
	wait      time.Duration
	reportAge time.Duration
}

// Server returns the index of the chosen server, or -1 for none.
func (choice Choice) Server() int { return choice.server }

// Hit returns how many bytes of the prompt the server is predicted to hold.
func (choice Choice) Hit() int { return choice.hit }

// Wait returns the expected time until the first token.
func (choice Choice) Wait() time.Duration { return choice.wait }

// ReportAge returns how old the load report was that the decision used.
func (choice Choice) ReportAge() time.Duration { return choice.reportAge }

// Policy chooses a server for a model request.
type Policy interface {
	// Choose returns the choice among the servers, and a negative server when none may take the request.
	Choose(request Request, servers []Server, index *PrefixIndex) Choice
}
