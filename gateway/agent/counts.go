package agent

import "sync"

// countsForwarder adds up the counts of a rank and those of the ranks that its agent answers for, until the agent has passed them on; the zero value is
// ready to use.
type countsForwarder struct {
	mutex sync.Mutex
	// last holds the counts as the rank last gave them, since its start at born.
	last []int64
	born int64
	// unsent holds the counts that have not been passed on, among them what packing left out.
	unsent []int64
}

// add adds the increase of the rank's counts since the last call; the counts of a rank that has restarted only set a new base.
func (countsForwarder *countsForwarder) add(counts []int64, born int64) {
	countsForwarder.mutex.Lock()
	defer countsForwarder.mutex.Unlock()
	if len(counts) == 0 {
		return
	}
	increase := make([]int64, len(counts))
	if born == countsForwarder.born && len(counts) == len(countsForwarder.last) {
		for i, count := range counts {
			increase[i] = max(count-countsForwarder.last[i], 0)
		}
	}
	countsForwarder.last, countsForwarder.born = counts, born
	countsForwarder.addIncrease(increase)
}

// addOthers adds the counts that other agents passed on.
func (countsForwarder *countsForwarder) addOthers(counts []int64) {
	countsForwarder.mutex.Lock()
	defer countsForwarder.mutex.Unlock()
	countsForwarder.addIncrease(counts)
}

func (countsForwarder *countsForwarder) addIncrease(increase []int64) {
	if len(increase) == 0 {
		return
	}
	if len(countsForwarder.unsent) != len(increase) {
		countsForwarder.unsent = make([]int64, len(increase))
	}
	for i, count := range increase {
		countsForwarder.unsent[i] += count
	}
}

// take returns the counts to pass on, and keeps what rounding leaves out for the next time.
func (countsForwarder *countsForwarder) take() (packed []byte, unit int64) {
	countsForwarder.mutex.Lock()
	defer countsForwarder.mutex.Unlock()
	if len(countsForwarder.unsent) == 0 {
		return nil, 0
	}
	packed, unit, sent := packCounts(countsForwarder.unsent)
	for i := range sent {
		countsForwarder.unsent[i] -= sent[i]
	}
	return packed, unit
}

// takeAll returns the counts without packing them.
func (countsForwarder *countsForwarder) takeAll() []int64 {
	countsForwarder.mutex.Lock()
	defer countsForwarder.mutex.Unlock()
	counts := countsForwarder.unsent
	countsForwarder.unsent = nil
	return counts
}

// reset forgets what was not passed on, as for the controller of a new term, which needs only what comes from now on.
func (countsForwarder *countsForwarder) reset() {
	countsForwarder.mutex.Lock()
	defer countsForwarder.mutex.Unlock()
	countsForwarder.unsent = nil
}
