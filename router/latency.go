package router

import (
	"time"

	"github.com/cranberryward/cranberryward"
)

const (
	eventHalfWeightAge   = 20 * time.Second
	reportHalfWeightAge  = 10 * time.Second
	defaultBytesPerMilli = 400.0
	defaultStepMicros    = 20000.0
	tieBreakMillis       = 0.5
	queueWaitSteps       = 24.0
	noServer             = -1
	microsPerMilli       = 1000.0
	maxExpectedMillis    = 1e9
	tieBreakLevels       = 16
)

// LeastExpectedLatency chooses the server with the least expected time to the first token, estimated from predicted prefix cache hits and
// from load reports corrected for their lag.
type LeastExpectedLatency struct{}

var _ Policy = LeastExpectedLatency{}

// Choose returns the server with the least expected latency.
func (leastExpectedLatency LeastExpectedLatency) Choose(request Request, servers []Server, index *PrefixIndex) Choice {
	var hits [MaxServers]int
	index.Hits(request.blocks, &hits)
	best := Choice{
		server: noServer,
	}
	bestMillis := maxExpectedMillis
	for i := range servers {
		server := &servers[i]
		if !server.Available || request.excluded&(1<<i) != 0 {
			continue
		}
		hit := float64(hits[i]*cranberryward.PrefixBlockBytes) * ageWeight(server.EventAge, eventHalfWeightAge)
		millis := expectedMillis(server, float64(request.promptBytes)-hit)
		millis += tieBreakMillis * float64((request.sequence+uint64(i)*7)%tieBreakLevels) / tieBreakLevels
		if millis < bestMillis {
			bestMillis = millis
			best = Choice{
				server:    i,
				hitBytes:  hits[i] * cranberryward.PrefixBlockBytes,
				reportAge: server.ReportAge,
			}
		}
	}
	best.expectedLatency = time.Duration(bestMillis * float64(time.Millisecond))
	return best
}

// ageWeight returns the weight of data of a given age: 1 at age zero, 1/2 at halfWeightAge, falling hyperbolically.
func ageWeight(age, halfWeightAge time.Duration) float64 {
	return float64(halfWeightAge) / float64(halfWeightAge+age)
}

func expectedMillis(server *Server, uncachedBytes float64) float64 {
	rate := server.BytesPerMilli
	if rate == 0 {
		rate = defaultBytesPerMilli
	}
	step := server.StepMicros
	if step == 0 {
		step = defaultStepMicros
	}
	pending := float64(server.PrefillBytes)*ageWeight(server.ReportAge, reportHalfWeightAge) + float64(server.SentBytes)
	millis := (pending + max(uncachedBytes, 0)) / rate
	busy := server.Running + server.Queued + server.SentRequests
	if excess := busy + 1 - server.Limit; server.Limit > 0 && excess > 0 {
		millis += float64(excess) * queueWaitSteps * step / microsPerMilli / float64(server.Limit)
	}
	millis += server.WaitMillis
	if server.Share > 0 && server.Share < 1 {
		millis /= server.Share
	}
	return millis
}
