package limiter

import "sync"

const (
	retryShare      = 0.1
	retryReserve    = 10
	maxRetryBalance = 100
)

// RetryBudget allows retries up to a share of the first attempts; its zero value starts with a small reserve.
type RetryBudget struct {
	mutex   sync.Mutex
	spent   float64
	started bool
	balance float64
}

func (retryBudget *RetryBudget) initialize() {
	if !retryBudget.started {
		retryBudget.started = true
		retryBudget.balance = retryReserve
	}
}

// Deposit counts a first attempt.
func (retryBudget *RetryBudget) Deposit() {
	retryBudget.mutex.Lock()
	defer retryBudget.mutex.Unlock()
	retryBudget.initialize()
	retryBudget.balance = min(retryBudget.balance+retryShare, maxRetryBalance)
}

// Withdraw returns whether a retry is allowed and, if so, counts it.
func (retryBudget *RetryBudget) Withdraw() bool {
	retryBudget.mutex.Lock()
	defer retryBudget.mutex.Unlock()
	retryBudget.initialize()
	if retryBudget.balance < 1 {
		return false
	}
	retryBudget.balance--
	retryBudget.spent++
	return true
}
