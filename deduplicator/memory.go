package deduplicator

import (
	"sync"
	"time"

	"github.com/cranberryward/cranberryward"
)

const (
	defaultCapacity  = 200_000
	defaultRetention = 24 * time.Hour
)

type memorized struct {
	fingerprint string
	answer      []byte
	resolved    bool
	failed      bool
	at          time.Time
	done        chan struct{}
}

// Memory remembers the keys that a home admitted and their answers, and its zero value is empty.
type Memory struct {
	mutex     sync.Mutex
	capacity  int
	retention time.Duration
	keys      map[string]*memorized
	order     []string
}

// NewMemory returns a memory that holds at most the given number of keys, each for the retention time.
func NewMemory(capacity int, retention time.Duration) *Memory {
	return &Memory{
		capacity:  capacity,
		retention: retention,
	}
}

// Len returns how many keys are remembered.
func (memory *Memory) Len() int {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	return len(memory.keys)
}

// Retention returns how long a key is remembered.
func (memory *Memory) Retention() time.Duration {
	if memory.retention == 0 {
		return defaultRetention
	}
	return memory.retention
}

// Recall returns what is remembered of a key: its first answer, a channel closed when it is resolved, or a refusal.
func (memory *Memory) Recall(key, fingerprint string) (answer []byte, pending <-chan struct{}, known bool, err error) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	entry, ok := memory.keys[key]
	switch {
	case !ok:
		return nil, nil, false, nil
	case entry.fingerprint != fingerprint:
		return nil, nil, true, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonKeyReused,
			"the idempotency key was used with another request").WithResend(false)
	case entry.failed:
		return nil, nil, true, unresolved("the first request with this key may have run and its answer was lost")
	case entry.resolved:
		return entry.answer, nil, true, nil
	}
	return nil, entry.done, true, nil
}

func unresolved(message string) error {
	return cranberryward.NewFailure(cranberryward.MayHaveRun, cranberryward.ReasonKeyUnresolved, message).WithResend(false)
}

// Begin remembers a key before its request is run and returns false when the key is known already.
func (memory *Memory) Begin(key, fingerprint string, now time.Time) (bool, error) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	if memory.keys == nil {
		memory.keys = map[string]*memorized{}
	}
	if _, known := memory.keys[key]; known {
		return false, nil
	}
	memory.forget(now)
	capacity := memory.capacity
	if capacity == 0 {
		capacity = defaultCapacity
	}
	if len(memory.keys) >= capacity {
		return false, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonOverloaded, "the memory of idempotency keys is full")
	}
	memory.keys[key] = &memorized{
		fingerprint: fingerprint,
		at:          now,
		done:        make(chan struct{}),
	}
	memory.order = append(memory.order, key)
	return true, nil
}

func (memory *Memory) forget(now time.Time) {
	for len(memory.order) > 0 {
		oldest := memory.keys[memory.order[0]]
		if oldest != nil && now.Sub(oldest.at) < memory.Retention() {
			return
		}
		if oldest != nil && !oldest.resolved && !oldest.failed {
			return
		}
		delete(memory.keys, memory.order[0])
		memory.order = memory.order[1:]
	}
}

// Resolve remembers the answer of a key.
func (memory *Memory) Resolve(key string, answer []byte) { memory.settle(key, answer, false) }

// Fail remembers that the request of a key may have run and its answer is unknown.
func (memory *Memory) Fail(key string) { memory.settle(key, nil, true) }

func (memory *Memory) settle(key string, answer []byte, failed bool) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	entry := memory.keys[key]
	if entry == nil || entry.resolved || entry.failed {
		return
	}
	entry.answer = answer
	entry.resolved = !failed
	entry.failed = failed
	close(entry.done)
}

// Abandon forgets a key whose request certainly did not run.
func (memory *Memory) Abandon(key string) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	if entry := memory.keys[key]; entry != nil && !entry.resolved && !entry.failed {
		close(entry.done)
		delete(memory.keys, key)
	}
}

// Export returns what is remembered of the shards.
func (memory *Memory) Export(shards func(shard int) bool) []Memorized {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	var exported []Memorized
	for _, key := range memory.order {
		entry := memory.keys[key]
		if entry == nil || !shards(ShardOf(key)) {
			continue
		}
		exported = append(exported, Memorized{
			Key:         key,
			Fingerprint: entry.fingerprint,
			Resolved:    entry.resolved,
			Answer:      entry.answer,
			AtMillis:    entry.at.UnixMilli(),
		})
	}
	return exported
}

// Open returns how many keys of the shards have a request that is still running.
func (memory *Memory) Open(shards func(shard int) bool) int {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	open := 0
	for key, entry := range memory.keys {
		if !entry.resolved && !entry.failed && shards(ShardOf(key)) {
			open++
		}
	}
	return open
}

// Import remembers what an earlier home handed over.
func (memory *Memory) Import(entries []Memorized) {
	for _, entry := range entries {
		if fresh, err := memory.Begin(entry.Key, entry.Fingerprint, time.UnixMilli(entry.AtMillis)); err != nil || !fresh {
			continue
		}
		if entry.Resolved {
			memory.Resolve(entry.Key, entry.Answer)
			continue
		}
		memory.Fail(entry.Key)
	}
}
