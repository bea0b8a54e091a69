package quarantiner

import (
	"sync"
	"time"
)

const (
	// recordTTL is how long the crashes of a request count after its last one; a request that crashes its backend servers is retried within
	// seconds.
	recordTTL = 5 * time.Minute
	// suspectThreshold is the number of crashes after which a request is no longer retried, one fewer than operators accept.
	suspectThreshold = 2
	// recentWindow is how long a change is reported to peers, so that a peer that lost one notice gets another.
	recentWindow = time.Second
	// maxRecords bounds the requests that have records, and maxRecent those in one report to peers.
	maxRecords = 4096
	maxRecent  = 64
)

// CrashCounter counts the backend server crashes that this process and its peers saw for each request; its zero value is ready to use.
type CrashCounter struct {
	mutex sync.Mutex
	// records holds the counts of each request, by fingerprint.
	records map[string]*crashRecord
}

// crashRecord counts the crashes of one request since it was last answered.
type crashRecord struct {
	local int
	// localAt is when this process last saw the request crash or be answered.
	localAt time.Time
	// peers holds the counts that peers reported, by their addresses.
	peers     map[string]int
	updatedAt time.Time
}

// Record counts a crash: a backend server broke off while it ran the request.
func (crashCounter *CrashCounter) Record(fingerprint string) {
	crashCounter.mutex.Lock()
	defer crashCounter.mutex.Unlock()
	record := crashCounter.get(fingerprint)
	record.local++
	record.localAt = record.updatedAt
}

// Merge merges the crash counts that a peer reported; a count of zero means that the peer saw the request answered, and clears its crashes.
func (crashCounter *CrashCounter) Merge(from string, counts map[string]int) {
	crashCounter.mutex.Lock()
	defer crashCounter.mutex.Unlock()
	for fingerprint, count := range counts {
		if count == 0 && crashCounter.records[fingerprint] == nil {
			continue
		}
		record := crashCounter.get(fingerprint)
		if count == 0 {
			record.local = 0
			clear(record.peers)
			continue
		}
		record.peers[from] = max(count, record.peers[from])
	}
}

// Recent returns the crash counts of this process that changed within recentWindow, to be reported to peers.
func (crashCounter *CrashCounter) Recent() map[string]int {
	crashCounter.mutex.Lock()
	defer crashCounter.mutex.Unlock()
	var recent map[string]int
	for fingerprint, record := range crashCounter.records {
		if time.Since(record.localAt) > recentWindow || len(recent) >= maxRecent {
			continue
		}
		if recent == nil {
			recent = map[string]int{}
		}
		recent[fingerprint] = record.local
	}
	return recent
}

// IsSuspect returns whether a request has crashed so many backend servers that it must not be retried.
func (crashCounter *CrashCounter) IsSuspect(fingerprint string) bool {
	crashCounter.mutex.Lock()
	defer crashCounter.mutex.Unlock()
	record := crashCounter.records[fingerprint]
	if record == nil || time.Since(record.updatedAt) > recordTTL {
		return false
	}
	return record.count() >= suspectThreshold
}

// count returns the number of crashes that this process and its peers have seen.
func (crashRecord *crashRecord) count() int {
	count := crashRecord.local
	for _, reported := range crashRecord.peers {
		count += reported
	}
	return count
}

// Clear resets the crashes of a request that was answered, as backend servers that broke off before must have done so for other reasons.
func (crashCounter *CrashCounter) Clear(fingerprint string) {
	crashCounter.mutex.Lock()
	defer crashCounter.mutex.Unlock()
	if record := crashCounter.records[fingerprint]; record != nil && record.count() > 0 {
		record.local = 0
		clear(record.peers)
		record.localAt = time.Now()
	}
}

// Empty returns whether there is no record at all, so that callers need not compute a fingerprint.
func (crashCounter *CrashCounter) Empty() bool {
	crashCounter.mutex.Lock()
	defer crashCounter.mutex.Unlock()
	return len(crashCounter.records) == 0
}

// get returns the record of a request, which it creates if there is none or it has expired, and marks it as updated.
func (crashCounter *CrashCounter) get(fingerprint string) *crashRecord {
	record := crashCounter.records[fingerprint]
	if record == nil || time.Since(record.updatedAt) > recordTTL {
		if crashCounter.records == nil || len(crashCounter.records) >= maxRecords {
			crashCounter.evictOlder()
		}
		record = &crashRecord{peers: map[string]int{}}
		crashCounter.records[fingerprint] = record
	}
	record.updatedAt = time.Now()
	return record
}

// evictOlder deletes the records whose age is at least half that of the oldest one, and any others beyond half of maxRecords.
func (crashCounter *CrashCounter) evictOlder() {
	kept := map[string]*crashRecord{}
	now := time.Now()
	oldest := time.Duration(0)
	for _, record := range crashCounter.records {
		oldest = max(oldest, now.Sub(record.updatedAt))
	}
	for fingerprint, record := range crashCounter.records {
		if now.Sub(record.updatedAt) <= oldest/2 && len(kept) < maxRecords/2 {
			kept[fingerprint] = record
		}
	}
	crashCounter.records = kept
}
