package engineserver

import (
	"container/list"
	"time"

	"github.com/cranberryward/cranberryward"
)

const maxEvents = 1024

type blockCache struct {
	capacity int
	order    *list.List
	blocks   map[uint64]*list.Element
}

func newBlockCache(capacity int) blockCache {
	return blockCache{
		capacity: capacity,
		order:    list.New(),
		blocks:   map[uint64]*list.Element{},
	}
}

func (cache *blockCache) hit(blocks []uint64) int {
	for i, block := range blocks {
		if _, ok := cache.blocks[block]; !ok {
			return i
		}
	}
	return len(blocks)
}

func (cache *blockCache) store(blocks []uint64) (removed []uint64) {
	for _, block := range blocks {
		if element, ok := cache.blocks[block]; ok {
			cache.order.MoveToFront(element)
			continue
		}
		cache.blocks[block] = cache.order.PushFront(block)
	}
	for cache.order.Len() > cache.capacity {
		last := cache.order.Back()
		block := cache.order.Remove(last).(uint64)
		delete(cache.blocks, block)
		removed = append(removed, block)
	}
	return removed
}

func (cache *blockCache) all() []uint64 {
	blocks := make([]uint64, 0, len(cache.blocks))
	for block := range cache.blocks {
		blocks = append(blocks, block)
	}
	return blocks
}

type timedEvent struct {
	at    time.Time
	event cranberryward.CacheEvent
}

type eventLog struct {
	sequence uint64
	events   []timedEvent
}

func (log *eventLog) add(rank *Rank, stored, removed []uint64) {
	if len(stored) == 0 && len(removed) == 0 {
		return
	}
	log.sequence++
	if rank.random.Float64() < rank.faults.EventLoss {
		return
	}
	log.events = append(log.events, timedEvent{
		at: time.Now(),
		event: cranberryward.CacheEvent{
			Sequence: log.sequence,
			Stored:   stored,
			Removed:  removed,
		},
	})
	if len(log.events) > maxEvents {
		log.events = log.events[1:]
	}
}

func (log *eventLog) after(sequence uint64, horizon time.Time) (events []cranberryward.CacheEvent, last uint64, gap bool) {
	last = sequence
	for _, timed := range log.events {
		if timed.event.Sequence <= sequence || timed.at.After(horizon) {
			continue
		}
		if timed.event.Sequence != last+1 {
			return nil, last, true
		}
		events = append(events, timed.event)
		last = timed.event.Sequence
	}
	return events, last, sequence > log.sequence
}
