package distributor

import (
	"context"
	"sync"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/configurer"
)

const (
	maxRecentEntries = 128
	effectLifetime   = time.Second
)

// Holder keeps the newest configuration and membership that a process knows.
type Holder struct {
	mutex         sync.Mutex
	configuration cranberryward.Configuration
	recent        []cranberryward.ConfigurationEntry
	membership    cranberryward.Membership
	effect        *configurer.Effect
	effectAt      time.Time
	confirmedAt   time.Time
	cursor        uint64
	changed       chan struct{}
}

// NewHolder returns a holder that knows nothing yet.
func NewHolder() *Holder {
	return &Holder{
		changed: make(chan struct{}),
	}
}

func (holder *Holder) wake() {
	if holder.changed != nil {
		close(holder.changed)
	}
	holder.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change.
func (holder *Holder) Changed() <-chan struct{} {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	if holder.changed == nil {
		holder.changed = make(chan struct{})
	}
	return holder.changed
}

// Configuration returns the newest configuration.
func (holder *Holder) Configuration() cranberryward.Configuration {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	return holder.configuration
}

// Revision returns the newest configuration revision.
func (holder *Holder) Revision() uint64 {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	return holder.configuration.Revision
}

// Membership returns the newest instance list of the zone.
func (holder *Holder) Membership() cranberryward.Membership {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	return holder.membership
}

// Effect returns what the newest configuration puts in force now.
func (holder *Holder) Effect() *configurer.Effect {
	now := time.Now()
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	if holder.effect == nil || now.Sub(holder.effectAt) > effectLifetime {
		holder.effect = configurer.NewEffect(holder.configuration, now)
		holder.effectAt = now
	}
	return holder.effect
}

// Age returns how long ago the platform confirmed that the configuration is the newest, and false before the first time.
func (holder *Holder) Age() (time.Duration, bool) {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	return time.Since(holder.confirmedAt), !holder.confirmedAt.IsZero()
}

// Advance takes over a newer configuration and ignores an older one.
func (holder *Holder) Advance(configuration cranberryward.Configuration, entries []cranberryward.ConfigurationEntry) {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	if configuration.Revision <= holder.configuration.Revision {
		return
	}
	for _, entry := range entries {
		if entry.Revision > holder.configuration.Revision {
			holder.recent = append(holder.recent, entry)
		}
	}
	if excess := len(holder.recent) - maxRecentEntries; excess > 0 {
		holder.recent = holder.recent[excess:]
	}
	holder.configuration = configuration
	holder.effect = nil
	holder.wake()
}

// Confirm records that the configuration was the newest at an instant of this process's clock.
func (holder *Holder) Confirm(at time.Time) {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	if at.After(holder.confirmedAt) {
		holder.confirmedAt = at
	}
}

// Enroll takes over a newer membership and ignores an older one.
func (holder *Holder) Enroll(membership cranberryward.Membership) {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	if membership.Version <= holder.membership.Version {
		return
	}
	holder.membership = membership
	holder.wake()
}

// WaitRevision waits until the revision is held or the context ends.
func (holder *Holder) WaitRevision(ctx context.Context, revision uint64) error {
	for {
		changed := holder.Changed()
		if holder.Revision() >= revision {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Recent returns the last entries of the log that were applied one by one.
func (holder *Holder) Recent() []cranberryward.ConfigurationEntry {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	return append([]cranberryward.ConfigurationEntry{}, holder.recent...)
}

func (holder *Holder) since(revision uint64) (entries []cranberryward.ConfigurationEntry, complete bool) {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	if revision >= holder.configuration.Revision {
		return nil, true
	}
	next := revision + 1
	for _, entry := range holder.recent {
		if entry.Revision == next {
			entries = append(entries, entry)
			next++
		}
	}
	return entries, next == holder.configuration.Revision+1
}
