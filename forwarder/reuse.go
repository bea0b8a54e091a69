package forwarder

import "math/rand/v2"

// reuseSlack is how much more a backend server may cost, in requests in flight, to be preferred for its idle connection where the controller's
// loads leave no room: the loads that other entries tell of are off by more than this.
const reuseSlack = 0.9

// exploreShare is the share of requests that choose without regard to idle connections, so that a backend server to which none is open, as after a limit or an
// absence, has its share again after a few requests.
const exploreShare = 0.2

// idleDraws is how many candidates are asked for an idle connection one by one in the order in which they are drawn, before all others are.
const idleDraws = 4

// draw returns the index of one of the candidates. It spreads the given number of arrivals over the cheapest by water-filling, or takes the cheapest alone if there
// are none. Among those that come into question it draws one with an idle connection, if there is any; a nil function means that none has.
func draw(candidates []candidate, arrivals float64, random *rand.Rand, idle func(candidate *candidate) bool) int {
	cheapest := 0
	for i := range candidates {
		if candidates[i].cost < candidates[cheapest].cost {
			cheapest = i
		}
	}
	level := candidates[cheapest].cost
	reuseLevel := level + reuseSlack
	if arrivals > 1 {
		level = fillLevel(candidates, arrivals)
	}
	if idle != nil {
		if chosen := drawIdle(candidates, max(level, reuseLevel), random, idle); chosen >= 0 {
			return chosen
		}
	}
	if arrivals <= 1 {
		return cheapest
	}
	for i := range candidates {
		candidates[i].closed = false // one without a connection may be chosen too
	}
	if chosen := drawBelow(candidates, level, random); chosen >= 0 {
		return chosen
	}
	return cheapest
}

// drawIdle draws one of the candidates below the level that have an idle connection, or returns a negative number. One that is drawn among all and has none is left
// out and the next drawn, which gives each of the others the chance that it has among those with a connection.
func drawIdle(candidates []candidate, level float64, random *rand.Rand, idle func(candidate *candidate) bool) int {
	for range idleDraws {
		chosen := drawBelow(candidates, level, random)
		if chosen < 0 || idle(&candidates[chosen]) {
			return chosen
		}
		candidates[chosen].closed = true
	}
	for i := range candidates {
		candidate := &candidates[i]
		candidate.closed = candidate.closed || candidate.cost < level && !idle(candidate)
	}
	return drawBelow(candidates, level, random)
}

// drawBelow draws one of the candidates that are not closed by how far they are below the level, or returns a negative number if none is.
func drawBelow(candidates []candidate, level float64, random *rand.Rand) int {
	total := 0.0
	for i := range candidates {
		if candidate := &candidates[i]; candidate.cost < level && !candidate.closed {
			total += level - candidate.cost
		}
	}
	drawn, last := random.Float64()*total, -1
	for i := range candidates {
		candidate := &candidates[i]
		if candidate.cost >= level || candidate.closed {
			continue
		}
		if drawn -= level - candidate.cost; drawn < 0 {
			return i
		}
		last = i // the sum may be rounded
	}
	return last
}
