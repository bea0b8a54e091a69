package engineserver

import (
	"container/list"
	"time"

	"github.com/cranberryward/cranberryward"
)

const maxEvents = 1024

type blockCache struct {
	capacity int
	lru      *list.List
	blocks   map[uint64]*list.Element
}

func newBlockCache(capacity int) blockCache {
	return blockCache{
		capacity: capacity,
		lru:      list.New(),
		blocks:   map[uint64]*list.Element{},
	}
}

func (blockCache *blockCache) countCached(blocks []uint64) int {
	for i, block := range blocks {
		if _, ok := blockCache.blocks[block]; !ok {
			return i
		}
	}
	return len(blocks)
}

func (blockCache *blockCache) store(blocks []uint64) (removed []uint64) {
	for _, block := range blocks {
		if element, ok := blockCache.blocks[block]; ok {
			blockCache.lru.MoveToFront(element)
			continue
		}
		blockCache.blocks[block] = blockCache.lru.PushFront(block)
	}
	for blockCache.lru.Len() > blockCache.capacity {
		last := blockCache.lru.Back()
		block := blockCache.lru.Remove(last).(uint64)
		delete(blockCache.blocks, block)
		removed = append(removed, block)
	}
	return removed
}

func (blockCache *blockCache) list() []uint64 {
	blocks := make([]uint64, 0, len(blockCache.blocks))
	for block := range blockCache.blocks {
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

// add records an event; an event that EventLoss drops still takes a sequence number, so that readers notice the gap.
func (eventLog *eventLog) add(rank *Rank, stored, removed []uint64) {
	if len(stored) == 0 && len(removed) == 0 {
		return
	}
	eventLog.sequence++
	if rank.random.Float64() < rank.faults.EventLoss {
		return
	}
	eventLog.events = append(eventLog.events, timedEvent{
		at: time.Now(),
		event: cranberryward.CacheEvent{
			Sequence: eventLog.sequence,
			Stored:   stored,
			Removed:  removed,
		},
	})
	if len(eventLog.events) > maxEvents {
		eventLog.events = eventLog.events[1:]
	}
}

// after returns the visible events after a sequence number, the sequence number of the last one, and whether the reader must resynchronize.
func (eventLog *eventLog) after(sequence uint64, visibleUntil time.Time) (events []cranberryward.CacheEvent, last uint64, gap bool) {
	last = sequence
	for _, timed := range eventLog.events {
		if timed.event.Sequence <= sequence || timed.at.After(visibleUntil) {
			continue
		}
		if timed.event.Sequence != last+1 {
			return nil, last, true
		}
		events = append(events, timed.event)
		last = timed.event.Sequence
	}
	return events, last, sequence > eventLog.sequence
}
