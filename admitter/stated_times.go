package admitter

import "time"

// Attempt is what the time that a caller states tells of its earlier attempts.
type Attempt int

// The attempts of a caller at all entries.
const (
	// AttemptUnknown is that the time shows none.
	AttemptUnknown Attempt = iota
	// AttemptNew is that the caller has not been refused before.
	AttemptNew
	// AttemptRepeated is that it was refused a moment ago and has not waited as asked.
	AttemptRepeated
	// AttemptReturned is that it was refused and has waited.
	AttemptReturned
)

const (
	// maxStatedTimes is the number of times of which the callers are counted, and maxStatements that of the counted callers at which the counts are halved.
	maxStatedTimes = 32
	maxStatements  = 1024
	// usualTimeShare is the share of the callers that state the same time, and minStatements their number, from which on it is the one of new callers: what
	// those who return have left differs from one to the next.
	usualTimeShare = 0.1
	minStatements  = 10
	// returnedShare is the share of the longest time below which the time that a caller has left shows that it was refused before: callers wait up to a third of
	// it before they return.
	returnedShare = 0.75
	// leastReturnedShare is the share that they have left at least, with the time of the first attempt.
	leastReturnedShare = 0.6
	// longestDecay is the share by which each shorter time lowers the longest one, so that a single caller that states a very long one does not make
	// those of all others look like what a return has left.
	longestDecay = 0.02
)

// StatedTimes recognizes the callers that were refused by any entry by the time that they have left; its zero value is ready to use.
type StatedTimes struct {
	// counts holds how often each of the most frequent times was stated, too low by a share of 1/maxStatedTimes at most.
	counts map[time.Duration]int
	total  int
	// longest is the longest time stated lately.
	longest time.Duration
}

// Observe counts a caller that states a time, of which the system uses the given limit at most, or all for zero, and returns which attempt it is.
func (statedTimes *StatedTimes) Observe(stated, limit time.Duration) Attempt {
	if stated <= 0 {
		return AttemptUnknown
	}
	stated = stated.Round(time.Millisecond)
	statedTimes.count(stated)
	statedTimes.longest = max(statedTimes.longest-time.Duration(longestDecay*float64(statedTimes.longest-stated)), stated)
	usual := statedTimes.usual(stated)
	switch lapse := usual - stated; {
	case statedTimes.counts[stated] >= minStatements && !statedTimes.left(stated):
		return AttemptNew // of a few callers that state the same: what those who return have left differs
	case usual == 0:
		longest := statedTimes.longest
		if limit > 0 {
			longest = min(longest, limit)
		}
		if float64(stated) < returnedShare*float64(longest) {
			return AttemptReturned
		}
		return AttemptUnknown
	case lapse <= 0:
		return AttemptNew
	case lapse < min(reportLag, time.Duration(returnShare*float64(usual))):
		return AttemptRepeated
	default:
		return AttemptReturned
	}
}

// usual returns the time that a caller stated at its first attempt, the shortest one of new callers from the given one on, or zero if it is unknown.
func (statedTimes *StatedTimes) usual(stated time.Duration) (usual time.Duration) {
	for at := range statedTimes.counts {
		if at >= stated && (usual == 0 || at < usual) && statedTimes.frequent(at) && !statedTimes.left(at) {
			usual = at
		}
	}
	return usual
}

func (statedTimes *StatedTimes) frequent(stated time.Duration) bool {
	count := statedTimes.counts[stated]
	return count >= minStatements && float64(count) >= usualTimeShare*float64(statedTimes.total)
}

// left returns whether many callers have a time left when they return: all that were refused together and wait as long as they can.
func (statedTimes *StatedTimes) left(stated time.Duration) bool {
	for at := range statedTimes.counts {
		share := float64(stated) / float64(at)
		if share >= leastReturnedShare && share < returnedShare && statedTimes.frequent(at) {
			return true
		}
	}
	return false
}

// count counts a stated time; where there are too many, each new one takes one from all.
func (statedTimes *StatedTimes) count(stated time.Duration) {
	if statedTimes.counts == nil {
		statedTimes.counts = map[time.Duration]int{}
	}
	statedTimes.total++
	if _, known := statedTimes.counts[stated]; known || len(statedTimes.counts) < maxStatedTimes {
		statedTimes.counts[stated]++
	} else {
		statedTimes.reduce(func(count int) int { return count - 1 })
	}
	if statedTimes.total >= maxStatements {
		statedTimes.total /= 2
		statedTimes.reduce(func(count int) int { return count / 2 })
	}
}

// reduce lowers all counts and forgets the times that reach zero.
func (statedTimes *StatedTimes) reduce(lower func(count int) int) {
	for at, count := range statedTimes.counts {
		statedTimes.counts[at] = lower(count)
		if statedTimes.counts[at] <= 0 {
			delete(statedTimes.counts, at)
		}
	}
}
