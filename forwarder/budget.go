package forwarder

import (
	"sync"
	"time"
)

const (
	// budgetShare is the share of the allowed retries that is used, because the windows of the entries are not aligned.
	budgetShare = 0.75
	// budgetBuckets is the number of buckets that the sliding window is divided into; a bucket expires as a whole.
	budgetBuckets = 20
)

// budget limits the retries of each service within a sliding window to this entry's share of what all entries together are allowed.
type budget struct {
	ratio  float64
	slack  float64
	window time.Duration
	// entries returns the number of entries that share the slack.
	entries func() int

	mutex     sync.Mutex
	startedAt time.Time
	buckets   map[string]*[budgetBuckets]budgetBucket
}

// budgetBucket counts the requests and retries of one part of the window, which its number identifies.
type budgetBucket struct {
	number   int64
	requests int
	retries  int
}

// configure sets the limits; a window of another length discards the counts and starts the ramp of the slack again.
func (budget *budget) configure(ratio, slack float64, window time.Duration) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if window != budget.window {
		budget.buckets, budget.startedAt = nil, time.Time{}
	}
	budget.ratio, budget.slack, budget.window = ratio, slack, window
}

// bucket returns the current bucket of a service, after resetting it if it still holds the counts of an earlier window.
func (budget *budget) bucket(service string, now time.Time) *budgetBucket {
	if budget.buckets == nil {
		budget.buckets = map[string]*[budgetBuckets]budgetBucket{}
	}
	buckets := budget.buckets[service]
	if buckets == nil {
		buckets = &[budgetBuckets]budgetBucket{}
		budget.buckets[service] = buckets
	}
	number := budget.bucketNumber(now)
	bucket := &buckets[number%budgetBuckets]
	if bucket.number != number {
		*bucket = budgetBucket{number: number}
	}
	return bucket
}

func (budget *budget) bucketNumber(now time.Time) int64 {
	return now.UnixNano() / int64(budget.window/budgetBuckets)
}

// slackShare returns this entry's share of the slack, which grows linearly over the first window: after a restart, neither the retries of
// the earlier process nor the number of other entries is known.
func (budget *budget) slackShare(now time.Time) float64 {
	if budget.startedAt.IsZero() {
		budget.startedAt = now
	}
	ramp := min(float64(now.Sub(budget.startedAt))/float64(budget.window), 1)
	return ramp * budget.slack / float64(max(budget.entries(), 1))
}

// recordRequest counts a request, whose first send is no retry.
func (budget *budget) recordRequest(service string) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.bucket(service, time.Now()).requests++
}

// takeRetry returns whether the budget allows one more retry, and counts the retry if so.
func (budget *budget) takeRetry(service string) bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	now := time.Now()
	current := budget.bucket(service, now)
	if retries, allowed := budget.count(service, now); retries+1 > allowed {
		return false
	}
	current.retries++
	return true
}

// isAmple returns whether half of the allowed retries are left, and two at least.
func (budget *budget) isAmple(service string) bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	now := time.Now()
	budget.bucket(service, now)
	retries, allowed := budget.count(service, now)
	return allowed-retries >= max(allowed/2, 2)
}

// count returns the retries in the window and how many are allowed; the caller holds the mutex.
func (budget *budget) count(service string, now time.Time) (retries, allowed float64) {
	requests := 0
	for _, bucket := range budget.buckets[service] {
		if budget.bucketNumber(now)-bucket.number < budgetBuckets {
			requests += bucket.requests
			retries += float64(bucket.retries)
		}
	}
	return retries, budgetShare * (budget.ratio*float64(requests) + budget.slackShare(now))
}
