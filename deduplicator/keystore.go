package deduplicator

import (
	"slices"
	"sync"
	"time"

	"github.com/cranberryward/cranberryward"
)

const (
	defaultCapacity  = 200_000
	defaultRetention = 24 * time.Hour
)

type keyEntry struct {
	fingerprint string
	response    []byte
	resolved    bool
	failed      bool
	admittedAt  time.Time
	done        chan struct{}
}

// KeyStore holds the keys that a home admitted and the responses to their requests; its zero value is empty and has the default limits.
type KeyStore struct {
	mutex          sync.Mutex
	capacity       int
	retention      time.Duration
	keys           map[string]*keyEntry
	insertionOrder []string
}

// NewKeyStore returns a store that holds at most the given number of keys, each for the retention time; zero means the default.
func NewKeyStore(capacity int, retention time.Duration) *KeyStore {
	return &KeyStore{
		capacity:  capacity,
		retention: retention,
	}
}

// Len returns the number of keys held.
func (keyStore *KeyStore) Len() int {
	keyStore.mutex.Lock()
	defer keyStore.mutex.Unlock()
	return len(keyStore.keys)
}

// Retention returns how long a key is held.
func (keyStore *KeyStore) Retention() time.Duration {
	if keyStore.retention == 0 {
		return defaultRetention
	}
	return keyStore.retention
}

// Lookup returns the stored response of a known key or, while the key's request is running, a channel that is closed when the request ends; it fails if the
// key was used with another request or the outcome of its request is unknown.
func (keyStore *KeyStore) Lookup(key, fingerprint string) (response []byte, pending <-chan struct{}, known bool, err error) {
	keyStore.mutex.Lock()
	defer keyStore.mutex.Unlock()
	keyEntry, ok := keyStore.keys[key]
	switch {
	case !ok:
		return nil, nil, false, nil
	case keyEntry.fingerprint != fingerprint:
		return nil, nil, true, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonKeyReused,
			"the idempotency key was used with another request").WithResend(false)
	case keyEntry.failed:
		return nil, nil, true, unresolved("the first request with this key may have run and its response was lost")
	case keyEntry.resolved:
		return keyEntry.response, nil, true, nil
	}
	return nil, keyEntry.done, true, nil
}

func unresolved(message string) error {
	return cranberryward.NewFailure(cranberryward.MayHaveRun, cranberryward.ReasonKeyUnresolved, message).WithResend(false)
}

// Begin adds a key before its request is run, and returns false if the key is already known.
func (keyStore *KeyStore) Begin(key, fingerprint string, now time.Time) (bool, error) {
	keyStore.mutex.Lock()
	defer keyStore.mutex.Unlock()
	if keyStore.keys == nil {
		keyStore.keys = map[string]*keyEntry{}
	}
	if _, known := keyStore.keys[key]; known {
		return false, nil
	}
	keyStore.evictExpired(now)
	capacity := keyStore.capacity
	if capacity == 0 {
		capacity = defaultCapacity
	}
	if len(keyStore.keys) >= capacity {
		return false, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonOverloaded, "the store of idempotency keys is full")
	}
	keyStore.keys[key] = &keyEntry{
		fingerprint: fingerprint,
		admittedAt:  now,
		done:        make(chan struct{}),
	}
	keyStore.insertionOrder = append(keyStore.insertionOrder, key)
	return true, nil
}

// evictExpired removes the oldest keys past the retention time, up to the first one whose request is still running.
func (keyStore *KeyStore) evictExpired(now time.Time) {
	for len(keyStore.insertionOrder) > 0 {
		oldest := keyStore.keys[keyStore.insertionOrder[0]]
		if oldest != nil && now.Sub(oldest.admittedAt) < keyStore.Retention() {
			return
		}
		if oldest != nil && !oldest.resolved && !oldest.failed {
			return
		}
		delete(keyStore.keys, keyStore.insertionOrder[0])
		keyStore.insertionOrder = keyStore.insertionOrder[1:]
	}
}

// Resolve records the response to a key's request.
func (keyStore *KeyStore) Resolve(key string, response []byte) { keyStore.settle(key, response, false) }

// Fail records that a key's request may have run and that its response is unknown.
func (keyStore *KeyStore) Fail(key string) { keyStore.settle(key, nil, true) }

func (keyStore *KeyStore) settle(key string, response []byte, failed bool) {
	keyStore.mutex.Lock()
	defer keyStore.mutex.Unlock()
	keyEntry := keyStore.keys[key]
	if keyEntry == nil || keyEntry.resolved || keyEntry.failed {
		return
	}
	keyEntry.response = response
	keyEntry.resolved = !failed
	keyEntry.failed = failed
	close(keyEntry.done)
}

// Abandon removes a key whose request certainly did not run.
func (keyStore *KeyStore) Abandon(key string) {
	keyStore.mutex.Lock()
	defer keyStore.mutex.Unlock()
	if keyEntry := keyStore.keys[key]; keyEntry != nil && !keyEntry.resolved && !keyEntry.failed {
		close(keyEntry.done)
		delete(keyStore.keys, key)
		keyStore.insertionOrder = slices.DeleteFunc(keyStore.insertionOrder, func(other string) bool { return other == key })
	}
}

// Export returns the records of the keys of the given shards.
func (keyStore *KeyStore) Export(shards func(shard int) bool) []KeyRecord {
	keyStore.mutex.Lock()
	defer keyStore.mutex.Unlock()
	var exported []KeyRecord
	for _, key := range keyStore.insertionOrder {
		keyEntry := keyStore.keys[key]
		if keyEntry == nil || !shards(ShardOf(key)) {
			continue
		}
		exported = append(exported, KeyRecord{
			Key:         key,
			Fingerprint: keyEntry.fingerprint,
			Resolved:    keyEntry.resolved,
			Answer:      keyEntry.response,
			AtMillis:    keyEntry.admittedAt.UnixMilli(),
		})
	}
	return exported
}

// PendingCount returns the number of keys of the given shards whose request is still running.
func (keyStore *KeyStore) PendingCount(shards func(shard int) bool) int {
	keyStore.mutex.Lock()
	defer keyStore.mutex.Unlock()
	pending := 0
	for key, keyEntry := range keyStore.keys {
		if !keyEntry.resolved && !keyEntry.failed && shards(ShardOf(key)) {
			pending++
		}
	}
	return pending
}

// Import adds the keys that an earlier home handed over, and marks those without a response as failed.
func (keyStore *KeyStore) Import(keyRecords []KeyRecord) {
	for _, keyRecord := range keyRecords {
		if added, err := keyStore.Begin(keyRecord.Key, keyRecord.Fingerprint, time.UnixMilli(keyRecord.AtMillis)); err != nil || !added {
			continue
		}
		if keyRecord.Resolved {
			keyStore.Resolve(keyRecord.Key, keyRecord.Answer)
			continue
		}
		keyStore.Fail(keyRecord.Key)
	}
}
