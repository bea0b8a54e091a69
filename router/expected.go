package router

import (
	"time"

	"github.com/cranberryward/cranberryward"
)

const (
	eventTrustHalf     = 20 * time.Second
	reportTrustHalf    = 10 * time.Second
	defaultByteRate    = 400.0
	defaultStepMicros  = 20000.0
	spreadBonusMillis  = 0.5
	slotWaitSteps      = 24.0
	unavailableServer  = -1
	microsPerMilli     = 1000.0
	maxExpectedMillis  = 1e9
	tieNoiseResolution = 16
)

// Expected chooses the server with the least expected time to the first token, from predicted prefix hits and load corrected for its lag.
type Expected struct{}

var _ Policy = Expected{}

// Choose returns the choice among the servers.
func (expected Expected) Choose(request Request, servers []Server, index *PrefixIndex) Choice {
	var hits [MaxServers]int
	index.Hits(request.blocks, &hits)
	best := Choice{
		server: unavailableServer,
	}
	bestMillis := maxExpectedMillis
	for i := range servers {
		server := &servers[i]
		if !server.Available || request.excluded&(1<<i) != 0 {
			continue
		}
		hit := float64(hits[i]*cranberryward.PrefixBlockBytes) * trust(server.EventAge, eventTrustHalf)
		millis := expectedMillis(server, float64(request.prompt)-hit)
		millis += spreadBonusMillis * float64((request.sequence+uint64(i)*7)%tieNoiseResolution) / tieNoiseResolution
		if millis < bestMillis {
			bestMillis = millis
			best = Choice{
				server:    i,
				hit:       hits[i] * cranberryward.PrefixBlockBytes,
				reportAge: server.ReportAge,
			}
		}
	}
	best.wait = time.Duration(bestMillis * float64(time.Millisecond))
	return best
}

// trust halves each time the age grows by the given time.
func trust(age, half time.Duration) float64 {
	return float64(half) / float64(half+age)
}

func expectedMillis(server *Server, prompt float64) float64 {
	rate := server.BytesPerMilli
	if rate == 0 {
		rate = defaultByteRate
	}
	step := server.StepMicros
	if step == 0 {
		step = defaultStepMicros
	}
	pending := float64(server.PrefillBytes)*trust(server.ReportAge, reportTrustHalf) + float64(server.SentBytes)
	millis := (pending + max(prompt, 0)) / rate
	busy := server.Running + server.Queued + server.SentRequests
	if over := busy + 1 - server.Limit; server.Limit > 0 && over > 0 {
		millis += float64(over) * slotWaitSteps * step / microsPerMilli / float64(server.Limit)
	}
	millis += server.WaitMillis
	if server.Share > 0 && server.Share < 1 {
		millis /= server.Share
	}
	return millis
}
