package deduplicator

import (
	"time"

	"github.com/cranberryward/cranberryward"
)

// Authority decides whether an instance may admit keys as the home of their shards.
type Authority struct {
	instance      string
	incarnation   string
	table         Table
	confirmedAt   time.Time
	homeChangedAt [ShardCount]time.Time
	lifetime      time.Duration
	clockError    time.Duration
}

// NewAuthority returns the authority of an instance, which expires once the lifetime has passed since its last confirmation.
func NewAuthority(instance, incarnation string, lifetime, clockError time.Duration) Authority {
	return Authority{
		instance:    instance,
		incarnation: incarnation,
		lifetime:    lifetime,
		clockError:  clockError,
	}
}

// Table returns the newest table that the instance has seen.
func (authority *Authority) Table() Table { return authority.table }

// Confirm records that the table was the newest one at the given time of the local clock.
func (authority *Authority) Confirm(table Table, at time.Time) {
	if table.Epoch < authority.table.Epoch {
		return
	}
	for shard, home := range table.Homes {
		if home != authority.table.Homes[shard] {
			authority.homeChangedAt[shard] = time.Now()
		}
	}
	authority.table = table
	if at.After(authority.confirmedAt) {
		authority.confirmedAt = at
	}
}

// Extend records that the instance was still listed at the given time of the local clock.
func (authority *Authority) Extend(at time.Time) {
	if at.After(authority.confirmedAt) {
		authority.confirmedAt = at
	}
}

// Owns returns whether the newest table names this incarnation of the instance as the home of the shard.
func (authority *Authority) Owns(shard int) bool {
	home := authority.table.Homes[shard]
	return home.Instance == authority.instance && home.Incarnation == authority.incarnation
}

// Confirmed returns whether the last confirmation is recent enough for the instance to act on the table.
func (authority *Authority) Confirmed(now time.Time) bool {
	return !authority.confirmedAt.IsZero() && now.Sub(authority.confirmedAt) < authority.lifetime
}

// MayAdmit returns nil if this instance may admit a key of the shard now, and a failure with the verdict NotRun otherwise.
func (authority *Authority) MayAdmit(shard int, now time.Time) error {
	refuse := func(message string) error {
		return cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonHomeUnconfirmed, message).WithRetryAfter(time.Second)
	}
	if !authority.Owns(shard) {
		return refuse("this instance is not the home of the key")
	}
	if !authority.Confirmed(now) {
		return refuse("the home of the key has not confirmed its authority in time")
	}
	if !authority.WaitElapsed(shard, now) {
		return refuse("the home of the key has changed and the authority of the earlier one may not have expired")
	}
	return nil
}

// WaitElapsed returns whether the authority of an earlier home of the shard has certainly expired.
func (authority *Authority) WaitElapsed(shard int, now time.Time) bool {
	wait := time.Duration(authority.table.Homes[shard].WaitMillis) * time.Millisecond
	return now.Sub(authority.homeChangedAt[shard]) >= wait
}

// KeyStatus says whether an earlier home may have admitted a key that is not in the key store.
type KeyStatus int

// The results of CheckKey.
const (
	// KeyNew means that no earlier home can have admitted the key.
	KeyNew KeyStatus = iota
	// KeyMayBeUsed means that an earlier home may have admitted the key, or that its record may have been evicted.
	KeyMayBeUsed
	// KeyUntimed means that the key contains no time, so that only its claim in the key-value service shows whether it was admitted.
	KeyUntimed
	// KeyFromFuture means that the key's time is ahead of the local clock by more than the clock error.
	KeyFromFuture
)

// CheckKey returns whether an earlier home may have admitted a key that is not in the key store.
func (authority *Authority) CheckKey(key string, now time.Time, retention time.Duration) KeyStatus {
	createdAt, hasTime := KeyTime(key)
	if !hasTime {
		return KeyUntimed
	}
	if createdAt.After(now.Add(authority.clockError)) {
		return KeyFromFuture
	}
	// A key past its retention time may have been admitted and evicted since.
	if now.Sub(createdAt) > retention-authority.clockError {
		return KeyMayBeUsed
	}
	since := authority.table.Homes[ShardOf(key)].SinceMillis
	// An earlier home can have admitted only keys made before SinceMillis plus the clock errors of both sides.
	if since > 0 && !createdAt.After(time.UnixMilli(since).Add(2*authority.clockError)) {
		return KeyMayBeUsed
	}
	return KeyNew
}
