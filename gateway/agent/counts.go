package agent

import "sync"

// toldCounts are the counts that an agent told last, so that the next time it need only tell what came since. Its zero value is ready.
type toldCounts struct {
	mutex  sync.Mutex
	number uint64
	born   int64
	counts []int64
}

// tell returns what to tell an asker who has the counts of a number, by which number it has them then, and whether they are those since.
func (toldCounts *toldCounts) tell(counts []int64, born int64, after uint64) (told []int64, number uint64, since bool) {
	toldCounts.mutex.Lock()
	defer toldCounts.mutex.Unlock()
	since = after != 0 && after == toldCounts.number && born == toldCounts.born && len(counts) == len(toldCounts.counts)
	told = counts
	if since {
		told = make([]int64, len(counts))
		for i, count := range counts {
			told[i] = count - toldCounts.counts[i]
		}
	}
	toldCounts.number++
	toldCounts.counts, toldCounts.born = counts, born
	return told, toldCounts.number, since
}

// heardCounts are the counts that a controller has of one rank. Its zero value is ready.
type heardCounts struct {
	life   uint64
	number uint64
	counts []int64
}

// after returns the number of the counts that are known of an agent's life, and zero without any.
func (heardCounts *heardCounts) after(life uint64) uint64 {
	if heardCounts.life != life {
		return 0
	}
	return heardCounts.number
}

// hear takes over what an agent told and returns the counts since the rank's start.
func (heardCounts *heardCounts) hear(reply ObserveReply) []int64 {
	counts := reply.Observation.Counts
	if reply.CountsSince {
		counts = make([]int64, len(heardCounts.counts))
		for i, count := range heardCounts.counts {
			counts[i] = count + reply.Observation.Counts[i]
		}
	}
	heardCounts.life, heardCounts.number, heardCounts.counts = reply.Life, reply.CountsNumber, counts
	return counts
}

// forget lets the agent tell the whole counts next time, as a reply may have been lost.
func (heardCounts *heardCounts) forget() { heardCounts.number = 0 }
