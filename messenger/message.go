package messenger

import (
	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/deduplicator"
)

// ReportRequest asks an agent for its load report.
type ReportRequest struct {
	CacheSequence uint64
	ExpertLoads   bool
}

// ReportReply is the load report of a backend server from its agent.
type ReportReply struct {
	Load     Load
	Engine   cranberryward.EngineLoad
	Events   cranberryward.CacheEvents
	Draining bool
	Revision uint64
}

// Load is the part of a load report that is also sent in the header of responses.
type Load struct {
	InFlight     int
	Queued       int
	Limit        int
	PrefillBytes int
}

// StateRequest asks an agent for the state of its rank.
type StateRequest struct{}

// MapRequest asks an agent for an expert map that its rank holds.
type MapRequest struct {
	Version uint64
}

// OrderReply is the empty reply to an order.
type OrderReply struct{}

// HomesRequest asks an agent for the table of key homes of its service.
type HomesRequest struct{}

// AdoptRequest hands keys and their responses over to the next home.
type AdoptRequest struct {
	Entries []deduplicator.KeyRecord
}

// AdoptReply identifies the instance that took the keys over, with its incarnation.
type AdoptReply struct {
	Instance cranberryward.Instance
}
