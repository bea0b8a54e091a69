package distributor

import (
	"context"
	"sync"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/configurer"
)

const (
	maxRecentEntries             = 128
	effectiveConfigurationMaxAge = time.Second
)

// LocalState holds the newest configuration and membership that a process has received.
type LocalState struct {
	mutex                  sync.Mutex
	configuration          cranberryward.Configuration
	recent                 []cranberryward.ConfigurationEntry
	membership             cranberryward.Membership
	effectiveConfiguration *configurer.EffectiveConfiguration
	derivedAt              time.Time
	confirmedAt            time.Time
	cursor                 uint64
	changed                chan struct{}
}

// NewLocalState returns a local state without a configuration or membership.
func NewLocalState() *LocalState {
	return &LocalState{
		changed: make(chan struct{}),
	}
}

func (localState *LocalState) notifyChanged() {
	if localState.changed != nil {
		close(localState.changed)
	}
	localState.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change.
func (localState *LocalState) Changed() <-chan struct{} {
	localState.mutex.Lock()
	defer localState.mutex.Unlock()
	if localState.changed == nil {
		localState.changed = make(chan struct{})
	}
	return localState.changed
}

// Configuration returns the newest configuration.
func (localState *LocalState) Configuration() cranberryward.Configuration {
	localState.mutex.Lock()
	defer localState.mutex.Unlock()
	return localState.configuration
}

// Revision returns the newest configuration revision.
func (localState *LocalState) Revision() uint64 {
	localState.mutex.Lock()
	defer localState.mutex.Unlock()
	return localState.configuration.Revision
}

// Membership returns the newest instance list of the zone.
func (localState *LocalState) Membership() cranberryward.Membership {
	localState.mutex.Lock()
	defer localState.mutex.Unlock()
	return localState.membership
}

// EffectiveConfiguration returns the newest configuration with its corrections applied, derived again after effectiveConfigurationMaxAge because corrections expire.
func (localState *LocalState) EffectiveConfiguration() *configurer.EffectiveConfiguration {
	now := time.Now()
	localState.mutex.Lock()
	defer localState.mutex.Unlock()
	if localState.effectiveConfiguration == nil || now.Sub(localState.derivedAt) > effectiveConfigurationMaxAge {
		localState.effectiveConfiguration = configurer.NewEffectiveConfiguration(localState.configuration, now)
		localState.derivedAt = now
	}
	return localState.effectiveConfiguration
}

// Age returns how long ago the platform confirmed that the configuration is the newest, and false if it never has.
func (localState *LocalState) Age() (time.Duration, bool) {
	localState.mutex.Lock()
	defer localState.mutex.Unlock()
	return time.Since(localState.confirmedAt), !localState.confirmedAt.IsZero()
}

// UpdateConfiguration stores a configuration that is newer than the current one, with the entries that led to it, and ignores any other.
func (localState *LocalState) UpdateConfiguration(configuration cranberryward.Configuration, entries []cranberryward.ConfigurationEntry) {
	localState.mutex.Lock()
	defer localState.mutex.Unlock()
	if configuration.Revision <= localState.configuration.Revision {
		return
	}
	for _, entry := range entries {
		if entry.Revision > localState.configuration.Revision {
			localState.recent = append(localState.recent, entry)
		}
	}
	if excess := len(localState.recent) - maxRecentEntries; excess > 0 {
		localState.recent = localState.recent[excess:]
	}
	localState.configuration = configuration
	localState.effectiveConfiguration = nil
	localState.notifyChanged()
}

// Confirm records that the configuration was the newest at a time on the local clock.
func (localState *LocalState) Confirm(at time.Time) {
	localState.mutex.Lock()
	defer localState.mutex.Unlock()
	if at.After(localState.confirmedAt) {
		localState.confirmedAt = at
	}
}

// UpdateMembership stores a membership that is newer than the current one and ignores any other.
func (localState *LocalState) UpdateMembership(membership cranberryward.Membership) {
	localState.mutex.Lock()
	defer localState.mutex.Unlock()
	if membership.Version <= localState.membership.Version {
		return
	}
	localState.membership = membership
	localState.notifyChanged()
}

// WaitRevision waits until the configuration has reached the revision or the context ends.
func (localState *LocalState) WaitRevision(ctx context.Context, revision uint64) error {
	for {
		changed := localState.Changed()
		if localState.Revision() >= revision {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// RecentEntries returns the last log entries that were applied one by one, not as part of a snapshot.
func (localState *LocalState) RecentEntries() []cranberryward.ConfigurationEntry {
	localState.mutex.Lock()
	defer localState.mutex.Unlock()
	return append([]cranberryward.ConfigurationEntry{}, localState.recent...)
}

// since returns the newest configuration and the entries that lead to it from a revision, and whether these are complete.
func (localState *LocalState) since(revision uint64) (configuration cranberryward.Configuration, entries []cranberryward.ConfigurationEntry, complete bool) {
	localState.mutex.Lock()
	defer localState.mutex.Unlock()
	if revision >= localState.configuration.Revision {
		return localState.configuration, nil, true
	}
	next := revision + 1
	for _, entry := range localState.recent {
		if entry.Revision == next {
			entries = append(entries, entry)
			next++
		}
	}
	return localState.configuration, entries, next == localState.configuration.Revision+1
}
