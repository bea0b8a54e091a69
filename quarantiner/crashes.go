package quarantiner

import (
	"sync"
	"time"
)

const (
	// crashMemory is how long a crash is held against a request; one that crashes its backend servers comes again within seconds.
	crashMemory = 5 * time.Minute
	// crashesTolerated is how many backend servers a request may take down before it is not repeated any more, one fewer than operators bear.
	crashesTolerated = 2
	// recentTime is how long a crash is told of, so that a peer that lost one notice gets another.
	recentTime = time.Second
	// maxRemembered bounds the requests that are remembered, and maxRecent those that are told of at once.
	maxRemembered = 4096
	maxRecent     = 64
)

// Crashes remembers which requests took backend servers down with them, as this process and its peers saw it; its zero value is ready.
type Crashes struct {
	mutex sync.Mutex
	// records are what is known of each request, by fingerprint.
	records map[string]*crashRecord
}

// crashRecord counts the crashes of one request since it was last answered.
type crashRecord struct {
	own int
	// ownAt is when this process last saw it crash or answered.
	ownAt time.Time
	// told are the counts of peers, by their addresses.
	told   map[string]int
	lastAt time.Time
}

// Note takes in that a backend server broke off as it ran a request.
func (crashes *Crashes) Note(fingerprint string) {
	crashes.mutex.Lock()
	defer crashes.mutex.Unlock()
	record := crashes.record(fingerprint)
	record.own++
	record.ownAt = record.lastAt
}

// Hear takes in how many crashes of which requests a peer has seen; none means that it saw the request answered.
func (crashes *Crashes) Hear(from string, counts map[string]int) {
	crashes.mutex.Lock()
	defer crashes.mutex.Unlock()
	for fingerprint, count := range counts {
		record := crashes.record(fingerprint)
		if count == 0 {
			record.own = 0
			clear(record.told)
			continue
		}
		record.told[from] = max(count, record.told[from])
	}
}

// Recent returns how often the requests that crashed or were answered here of late have crashed since, for peers to hear.
func (crashes *Crashes) Recent() map[string]int {
	crashes.mutex.Lock()
	defer crashes.mutex.Unlock()
	var recent map[string]int
	for fingerprint, record := range crashes.records {
		if time.Since(record.ownAt) > recentTime || len(recent) >= maxRecent {
			continue
		}
		if recent == nil {
			recent = map[string]int{}
		}
		recent[fingerprint] = record.own
	}
	return recent
}

// Suspect returns whether a request has taken down so many backend servers that it should not be repeated.
func (crashes *Crashes) Suspect(fingerprint string) bool {
	crashes.mutex.Lock()
	defer crashes.mutex.Unlock()
	record := crashes.records[fingerprint]
	if record == nil || time.Since(record.lastAt) > crashMemory {
		return false
	}
	return record.count() >= crashesTolerated
}

// count returns how many crashes all processes have seen.
func (crashRecord *crashRecord) count() int {
	count := crashRecord.own
	for _, told := range crashRecord.told {
		count += told
	}
	return count
}

// Clear takes in that a request was answered: backend servers that broke off before did so for reasons of their own.
func (crashes *Crashes) Clear(fingerprint string) {
	crashes.mutex.Lock()
	defer crashes.mutex.Unlock()
	if record := crashes.records[fingerprint]; record != nil && record.count() > 0 {
		record.own = 0
		clear(record.told)
		record.ownAt = time.Now()
	}
}

// Empty returns whether no crash is remembered, so that no fingerprint needs to be computed.
func (crashes *Crashes) Empty() bool {
	crashes.mutex.Lock()
	defer crashes.mutex.Unlock()
	return len(crashes.records) == 0
}

// record returns what is known of a request, which begins or goes on now.
func (crashes *Crashes) record(fingerprint string) *crashRecord {
	record := crashes.records[fingerprint]
	if record == nil || time.Since(record.lastAt) > crashMemory {
		if crashes.records == nil || len(crashes.records) >= maxRemembered {
			crashes.makeRoom()
		}
		record = &crashRecord{told: map[string]int{}}
		crashes.records[fingerprint] = record
	}
	record.lastAt = time.Now()
	return record
}

// makeRoom forgets the older half of what is remembered, by the middle between the oldest and now.
func (crashes *Crashes) makeRoom() {
	kept := map[string]*crashRecord{}
	now := time.Now()
	oldest := time.Duration(0)
	for _, record := range crashes.records {
		oldest = max(oldest, now.Sub(record.lastAt))
	}
	for fingerprint, record := range crashes.records {
		if now.Sub(record.lastAt) < oldest/2 {
			kept[fingerprint] = record
		}
	}
	crashes.records = kept
}
