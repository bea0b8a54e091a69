package admitter

import "time"

// Arrival is a request that asks for a place in a group.
type Arrival struct {
	// Urgency orders the classes of requests; a lower one gets a place first.
	Urgency   int
	Workspace string
	// Fingerprint is what only equal requests share, or empty.
	Fingerprint string
	// Attempt is which attempt it is, as far as the caller's time tells.
	Attempt Attempt
	// Objective is the time in which the caller wants the first event, or zero.
	Objective time.Duration
	// Remaining is the time to the caller's deadline.
	Remaining time.Duration
	// Jitter is a random number from 0 to 1.
	Jitter float64
}

// Room is what an entry knows of the places of a group.
type Room struct {
	// Slots is the number of requests that the group should run, and RankSlots that of each rank.
	Slots     int
	RankSlots int
	// Busy is the estimated number of requests of all entries; Known is whether a controller has reported the totals that it comes from recently.
	Busy  float64
	Known bool
	// Own is the number of requests of this entry, and Entries that of all entries.
	Own     int
	Entries int
	// Duration is the mean duration of a request.
	Duration time.Duration
}

// Wait returns how long one more request waits for a slot according to the totals, or zero if they are unknown.
func (room Room) Wait() time.Duration {
	if !room.Known {
		return 0
	}
	return room.waitFor(room.Busy)
}

// waitFor returns how long a request waits behind the given number of requests in the group.
func (room Room) waitFor(ahead float64) time.Duration {
	if room.Slots <= 0 {
		return 0
	}
	slots := float64(room.Slots)
	return time.Duration(max(ahead-slots, 0) / slots * float64(room.Duration))
}

// turnover returns the time until the totals show a decision of now and a rank has freed a slot.
func (room Room) turnover() time.Duration {
	return reportLag + room.Duration/time.Duration(max(room.RankSlots, 1))
}

// Decision is whether a request gets a place, or else when its caller may return.
type Decision struct {
	Admitted   bool
	RetryAfter time.Duration
	// Reason is why a refused request gets no place.
	Reason string
}
