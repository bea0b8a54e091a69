package forwarder

import (
	"context"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/reserver"
	"github.com/go-kit/log"
)

// Options are the settings and dependencies of a forwarder.
type Options struct {
	Zone string
	// Regions holds the region of each availability zone.
	Regions map[string]string
	// Drain is how long a backend server serves on after its registration has changed, or zero if that is not known.
	Drain time.Duration
	// ColdOvershoot and ColdSlack bound the requests of all entries to a cold backend server in any second: its rate times the one, zero meaning one, plus the other.
	ColdOvershoot float64
	ColdSlack     float64

	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// SecondSendShare is the share of requests that may be sent to a second backend server while the first answer is late; zero allows none.
	SecondSendShare float64
	// Entries returns how many entries share the retry budget and the rates of backend servers, and Place the place of this one among them, from 1, or zero while it
	// is not known; without it no place is known.
	Entries func() int
	Place   func() int
	// Memory accounts for what is held for callers and backend servers; nil sets no limit.
	Memory *reserver.Reserver
	// SaveQuarantine stores a quarantine, which fails if another process has stored one since, and returns it with its revision; nil allows no probes.
	SaveQuarantine func(ctx context.Context, quarantine cranberryward.Quarantine) (cranberryward.Quarantine, error)
	Logger         log.Logger
}
