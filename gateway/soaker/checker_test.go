package soaker

import (
	"fmt"
	"sync"
	"time"
)

// kind is a kind of request.
type kind string

// The kinds of requests, which are also the first elements of their routes' paths.
const (
	booking kind = "book"
	lookup  kind = "look"
	stream  kind = "stream"
)

// checker compares what callers and backend servers observe with what the system guarantees.
type checker struct {
	mutex sync.Mutex
	// runs counts how often backend servers ran each request, and refused holds those that callers were told had not run.
	runs       map[string]int
	refused    map[string]bool
	kinds      map[string]kind
	served     map[kind]int
	sent       map[kind]int
	violations []string
	// crashedAt holds the times of the crashes by requests.
	crashedAt []time.Time
	// repeatedAt holds the times at which the crashing request reached backend servers, and repeatCrashedAt those at which it crashed them.
	repeatedAt, repeatCrashedAt []time.Time
}

func newChecker() *checker {
	return &checker{
		runs:    map[string]int{},
		refused: map[string]bool{},
		kinds:   map[string]kind{},
		served:  map[kind]int{},
		sent:    map[kind]int{},
	}
}

// recordRun records that a backend server starts to run a request.
func (checker *checker) recordRun(id string) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.runs[id]++
}

func (checker *checker) recordSent(id string, kind kind) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.kinds[id] = kind
	checker.sent[kind]++
}

// recordRefused records that a caller was told that its request had not run and would not.
func (checker *checker) recordRefused(id string) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.refused[id] = true
}

func (checker *checker) recordServed(kind kind) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.served[kind]++
}

// report records the violation of a guarantee.
func (checker *checker) report(format string, arguments ...any) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.violations = append(checker.violations, fmt.Sprintf(format, arguments...))
}

// check returns all violations; no request may be in flight.
func (checker *checker) check(retryRatio, retrySlack float64) []string {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	violations := checker.violations
	retries := map[kind]int{}
	for id, runs := range checker.runs {
		kind, known := checker.kinds[id]
		switch {
		case !known:
			violations = append(violations, fmt.Sprintf("request %s ran and no caller sent it", id))
		case kind == booking && runs > 1:
			violations = append(violations, fmt.Sprintf("booking %s ran %d times", id, runs))
		case kind == booking && checker.refused[id]:
			violations = append(violations, fmt.Sprintf("booking %s ran and was refused", id))
		}
		retries[kind] += runs - 1
	}
	for kind, count := range retries {
		if allowed := retryRatio*float64(checker.sent[kind]) + retrySlack; float64(count) > allowed {
			violations = append(violations, fmt.Sprintf("%d retries of %d %s requests", count, checker.sent[kind], kind))
		}
	}
	return violations
}
