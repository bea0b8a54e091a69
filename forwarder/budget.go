package forwarder

import (
	"sync"
	"time"
)

const (
	// budgetShare is the part of the allowed repeats that is used, as entries count in windows that do not coincide.
	budgetShare = 0.75
	// budgetParts divides the window into the spans that are counted and forgotten as a whole.
	budgetParts = 20
)

// budget allows repeats within a sliding window, as this entry's part of what the operators allow all entries together.
type budget struct {
	ratio  float64
	slack  float64
	window time.Duration
	// entries returns over how many entries the slack is spread.
	entries func() int

	mutex sync.Mutex
	begun time.Time
	parts map[string]*[budgetParts]budgetPart
}

type budgetPart struct {
	number   int64
	requests int
	repeats  int
}

// allow takes over other bounds; what was counted in spans of another length is forgotten, and the slack grows anew.
func (budget *budget) allow(ratio, slack float64, window time.Duration) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if window != budget.window {
		budget.parts, budget.begun = nil, time.Time{}
	}
	budget.ratio, budget.slack, budget.window = ratio, slack, window
}

func (budget *budget) part(service string, now time.Time) *budgetPart {
	if budget.parts == nil {
		budget.parts = map[string]*[budgetParts]budgetPart{}
	}
	parts := budget.parts[service]
	if parts == nil {
		parts = &[budgetParts]budgetPart{}
		budget.parts[service] = parts
	}
	number := budget.number(now)
	part := &parts[number%budgetParts]
	if part.number != number {
		*part = budgetPart{number: number}
	}
	return part
}

func (budget *budget) number(now time.Time) int64 {
	return now.UnixNano() / int64(budget.window/budgetParts)
}

// slackPart returns this entry's part of the slack, which grows over the first window, as the repeats of an earlier life are not known and other entries are not heard yet.
func (budget *budget) slackPart(now time.Time) float64 {
	if budget.begun.IsZero() {
		budget.begun = now
	}
	grown := min(float64(now.Sub(budget.begun))/float64(budget.window), 1)
	return grown * budget.slack / float64(max(budget.entries(), 1))
}

// first counts the first send of a request.
func (budget *budget) first(service string) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.part(service, time.Now()).requests++
}

// repeat returns whether one more send is allowed and counts it.
func (budget *budget) repeat(service string) bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	now := time.Now()
	present := budget.part(service, now)
	requests, repeats := 0, 0
	for _, part := range budget.parts[service] {
		if budget.number(now)-part.number < budgetParts {
			requests += part.requests
			repeats += part.repeats
		}
	}
	allowed := budgetShare * (budget.ratio*float64(requests) + budget.slackPart(now))
	if float64(repeats+1) > allowed {
		return false
	}
	present.repeats++
	return true
}
