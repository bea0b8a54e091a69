package quarantiner

import (
	"context"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxGenerations bounds the ended generations for which the charged requests are kept.
	maxGenerations = 8
	// maxCleared bounds the suspects that are remembered as cleared.
	maxCleared = 4096
)

// Fingerprint returns a hash of the parts, by which equal requests of a workspace are recognized.
func Fingerprint(parts ...string) string {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range parts {
		_, _ = digest.WriteString(strconv.Itoa(len(part)))
		_, _ = digest.WriteString(":")
		_, _ = digest.WriteString(part) // apart, as a body may be long
	}
	return strconv.FormatUint(digest.Sum64(), 16)
}

// SuspectTracker tracks the requests in flight at one backend server and lets only one suspect run at a time, so that a crash is charged to the
// right requests; its zero value is ready to use.
type SuspectTracker struct {
	mutex sync.Mutex
	// generation counts the crashes of the backend server.
	generation uint64
	inFlight   map[string]int
	// suspect is the fingerprint of the suspect that runs, if any, and released is closed and replaced when it ends.
	suspect  string
	released chan struct{}
	// cleared holds the suspects that succeeded, which need not wait for other suspects any more.
	cleared map[string]bool
	// charged holds the requests that the crash at the end of each generation is charged to.
	charged map[uint64]map[string]bool
}

func (suspectTracker *SuspectTracker) initialize() {
	if suspectTracker.inFlight == nil {
		suspectTracker.inFlight = map[string]int{}
	}
	if suspectTracker.released == nil {
		suspectTracker.released = make(chan struct{})
		suspectTracker.charged = map[uint64]map[string]bool{}
		suspectTracker.cleared = map[string]bool{}
	}
}

// Enter records a request as in flight and returns the current generation of the backend server; a suspect that is not cleared waits until
// no other suspect runs.
func (suspectTracker *SuspectTracker) Enter(ctx context.Context, fingerprint string, suspect bool) (generation uint64, err error) {
	for {
		released, generation, entered := suspectTracker.tryEnter(fingerprint, suspect)
		if entered {
			return generation, nil
		}
		select {
		case <-released:
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}

func (suspectTracker *SuspectTracker) tryEnter(fingerprint string, suspect bool) (released <-chan struct{}, generation uint64, entered bool) {
	suspectTracker.mutex.Lock()
	defer suspectTracker.mutex.Unlock()
	suspectTracker.initialize()
	if suspect && !suspectTracker.cleared[fingerprint] {
		if suspectTracker.suspect != "" {
			return suspectTracker.released, 0, false
		}
		suspectTracker.suspect = fingerprint
	}
	suspectTracker.inFlight[fingerprint]++
	return nil, suspectTracker.generation, true
}

// Leave records that a request of the given generation ended, and clears a suspect that succeeded.
func (suspectTracker *SuspectTracker) Leave(fingerprint string, generation uint64, succeeded bool) {
	suspectTracker.mutex.Lock()
	defer suspectTracker.mutex.Unlock()
	suspectTracker.initialize()
	if generation != suspectTracker.generation {
		return
	}
	if suspectTracker.suspect == fingerprint {
		suspectTracker.release(fingerprint, succeeded)
	}
	suspectTracker.inFlight[fingerprint]--
	if suspectTracker.inFlight[fingerprint] <= 0 {
		delete(suspectTracker.inFlight, fingerprint)
	}
}

func (suspectTracker *SuspectTracker) release(fingerprint string, succeeded bool) {
	suspectTracker.suspect = ""
	close(suspectTracker.released)
	suspectTracker.released = make(chan struct{})
	if succeeded {
		if len(suspectTracker.cleared) >= maxCleared {
			suspectTracker.cleared = map[string]bool{}
		}
		suspectTracker.cleared[fingerprint] = true
	}
}

// RecordCrash ends a generation of the backend server and returns whether its crash is charged to the request: a crash is charged to the suspect in
// flight, or to all requests in flight if there was none.
func (suspectTracker *SuspectTracker) RecordCrash(fingerprint string, generation uint64) bool {
	suspectTracker.mutex.Lock()
	defer suspectTracker.mutex.Unlock()
	suspectTracker.initialize()
	if generation == suspectTracker.generation {
		charged := map[string]bool{}
		if suspectTracker.suspect != "" {
			charged[suspectTracker.suspect] = true
			suspectTracker.release(suspectTracker.suspect, false)
		} else {
			for running := range suspectTracker.inFlight {
				charged[running] = true
			}
		}
		suspectTracker.charged[generation] = charged
		delete(suspectTracker.charged, generation-maxGenerations)
		suspectTracker.generation++
		suspectTracker.inFlight = nil
	}
	return suspectTracker.charged[generation][fingerprint]
}
