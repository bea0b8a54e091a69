package limiter

import "sync"

const (
	retryShare      = 0.1
	retryReserve    = 10
	maxRetryCredits = 100
)

// RetryBudget allows retries up to a share of the requests, and its zero value holds a small reserve.
type RetryBudget struct {
	mutex   sync.Mutex
	spent   float64
	started bool
	credits float64
}

func (retryBudget *RetryBudget) prepare() {
	if !retryBudget.started {
		retryBudget.started = true
		retryBudget.credits = retryReserve
	}
}

// Deposit counts a first attempt.
func (retryBudget *RetryBudget) Deposit() {
	retryBudget.mutex.Lock()
	defer retryBudget.mutex.Unlock()
	retryBudget.prepare()
	retryBudget.credits = min(retryBudget.credits+retryShare, maxRetryCredits)
}

// Withdraw returns whether one more attempt is allowed and counts it.
func (retryBudget *RetryBudget) Withdraw() bool {
	retryBudget.mutex.Lock()
	defer retryBudget.mutex.Unlock()
	retryBudget.prepare()
	if retryBudget.credits < 1 {
		return false
	}
	retryBudget.credits--
	retryBudget.spent++
	return true
}
