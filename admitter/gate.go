package admitter

import "time"

const (
	// maxWaitShare is the share of a latency objective that a request may wait for a slot; the rest is left for the prefill of its prompt.
	maxWaitShare = 0.5
	// returnedPatience is the number of latency objectives that a caller that has returned may wait for a slot; callers leave a stream without a first event
	// after four or more.
	returnedPatience = 2
	// reportLag is the mean age of the totals when they are used: half the interval of the reports and the delays of their transmission.
	reportLag = 150 * time.Millisecond
	// maxReserveShare bounds the share of the slots that is held for requests that are about to come.
	maxReserveShare = 0.5
	// returnedReserveShare is the share of the room held for better standings that a caller leaves them when it returns, as it has no later chance: the
	// more urgent ones pass those that wait.
	returnedReserveShare = 0.5
	// minRepeatedShare is the share of the requests that callers repeat without having waited from which on these are put behind: below, most are of callers whose
	// connections were closed, or that a stopping entry sent on.
	minRepeatedShare = 0.1
	// rateMemory is the time over which the arrivals of a class are averaged; bursts last a few seconds.
	rateMemory = time.Second
	// shareMemory is the time over which the served share of a class is averaged, and after which a class without arrivals is no longer in use.
	shareMemory = 4 * time.Second
	// starvedShare is the ratio of a class's served share to that of all classes below which it competes as if it were the most urgent.
	starvedShare = 0.4
	// minUrgentShare is the share of more urgent requests in the arrivals above which the others leave them their places; for fewer, the refusals would cost
	// callers more than the longer passes.
	minUrgentShare = 0.2
	// downRetryAfter is the Retry-After of a group that has just gone down; a lost rank takes seconds to return. One that has been down for longer than
	// twice that time is expected to stay down for half as long again.
	downRetryAfter = 2600 * time.Millisecond
	// maxDownRetryAfter bounds it: the group may open at any time.
	maxDownRetryAfter = 30 * time.Second
	// returnJitter spreads the return of callers that were refused at the same time.
	returnJitter = 300 * time.Millisecond
	// returnShare is the share of the time left to them up to which callers wait before they return.
	returnShare = 1.0 / 3
)

// The reasons for refusals.
const (
	ReasonOverloaded = "overloaded"
	// ReasonReserved is that the places that are left are held for more urgent requests or for callers that return.
	ReasonReserved = "reserved"
	// ReasonEarly is that an equal request was refused and its caller has not waited as asked.
	ReasonEarly = "early_return"
)

// class is what an entry knows of its arrivals of one urgency.
type class struct {
	// arrived and admitted are averaged over shareMemory.
	arrived  rate
	admitted rate
	inFlight int
}

// Gate decides which requests of one entry get a place in a group; its zero value is ready to use.
type Gate struct {
	classes map[int]*class
	// rates holds the rates of arrivals by standing.
	rates      map[int]*rate
	workspaces workspaces
	calendar   calendar
	refusals   refusals
	// asked and repeated are averaged over shareMemory.
	asked    rate
	repeated rate
}

// standings of one urgency: callers that return before new ones, and those of workspaces that ask for far more than their share behind the others.
const (
	standingsPerUrgency = 4
	standingFresh       = 1
	standingExcess      = 2
)

// standing returns the order of an arrival among all; a lower one gets a place first.
func (gate *Gate) standing(arrival Arrival, now time.Time) int {
	standing := arrival.Urgency * standingsPerUrgency
	if arrival.Attempt != AttemptReturned {
		standing += standingFresh
	}
	if gate.workspaces.excessive(arrival.Workspace, now) {
		standing += standingExcess
	}
	return standing
}

// Decide decides on a request; one that is admitted counts as in flight until End is called.
func (gate *Gate) Decide(now time.Time, arrival Arrival, room Room) Decision {
	early, returned := gate.refusals.check(arrival, now)
	switch {
	case returned:
		arrival.Attempt = AttemptReturned
	case early > 0:
		arrival.Attempt = AttemptRepeated
	}
	if gate.repeats(now, arrival) || early > 0 {
		if decision := gate.decideEarly(now, arrival, room, early); !decision.Admitted {
			return decision
		}
	}
	standing := gate.record(now, arrival)
	reason := ""
	if wait := gate.wait(now, arrival, room, standing); wait > gate.patience(now, arrival) && !gate.passes(arrival, room) {
		reason = ReasonReserved
		if gate.wait(now, arrival, room, 0) > gate.patience(now, arrival) {
			reason = ReasonOverloaded
		}
	}
	if arrival.Objective <= 0 || reason == "" {
		class := gate.class(arrival.Urgency)
		class.inFlight++
		class.admitted.add(now, shareMemory)
		return Decision{Admitted: true}
	}
	return Decision{
		RetryAfter: gate.book(now, arrival, room, standing),
		Reason:     reason,
	}
}

// repeats counts an arrival and returns whether its caller is one of many that have asked another entry a moment ago.
func (gate *Gate) repeats(now time.Time, arrival Arrival) bool {
	gate.asked.add(now, shareMemory)
	if arrival.Attempt != AttemptRepeated || arrival.Objective <= 0 {
		return false
	}
	gate.repeated.add(now, shareMemory)
	return gate.repeated.current(now, shareMemory) > minRepeatedShare*gate.asked.current(now, shareMemory)
}

// decideEarly decides on a request whose caller was refused and has not waited as asked, for the given rest of its time where it is known: it gets only
// places that no request as urgent as itself will ask for. Its earlier refusal has counted it, and booked its return.
func (gate *Gate) decideEarly(now time.Time, arrival Arrival, room Room, rest time.Duration) Decision {
	standing := arrival.Urgency*standingsPerUrgency + standingFresh
	if gate.wait(now, arrival, room, standing+1) <= 0 {
		return Decision{Admitted: true}
	}
	if rest <= 0 {
		rest = gate.freeAfter(now, arrival, room, standing)
	}
	return Decision{
		RetryAfter: max(rest, bucketTime),
		Reason:     ReasonEarly,
	}
}

// End records the end of an admitted request.
func (gate *Gate) End(urgency int) { gate.class(urgency).inFlight-- }

// RefuseDown returns the Retry-After of a request for a group that has been down for the given time.
func (gate *Gate) RefuseDown(now time.Time, arrival Arrival, down time.Duration) time.Duration {
	if early, _ := gate.refusals.check(arrival, now); early > 0 {
		return early
	}
	wait := min(max(downRetryAfter, down/2), maxDownRetryAfter) + time.Duration(arrival.Jitter*float64(returnJitter))
	if gate.repeats(now, arrival) {
		return wait // another entry has counted it
	}
	return gate.promise(now, arrival, wait, gate.record(now, arrival))
}

func (gate *Gate) class(urgency int) *class {
	if gate.classes == nil {
		gate.classes = map[int]*class{}
	}
	if gate.classes[urgency] == nil {
		gate.classes[urgency] = &class{}
	}
	return gate.classes[urgency]
}

// record counts an arrival and returns its standing.
func (gate *Gate) record(now time.Time, arrival Arrival) (standing int) {
	gate.workspaces.record(arrival.Workspace, now)
	gate.class(arrival.Urgency).arrived.add(now, shareMemory)
	standing = gate.standing(arrival, now)
	if gate.rates == nil {
		gate.rates = map[int]*rate{}
	}
	if gate.rates[standing] == nil {
		gate.rates[standing] = &rate{}
	}
	gate.rates[standing].add(now, rateMemory)
	return standing
}

// wait returns how long an arrival of a standing waits if the places for those before it are held; standing 0 holds none.
func (gate *Gate) wait(now time.Time, arrival Arrival, room Room, standing int) time.Duration {
	if room.Slots <= 0 {
		return 0
	}
	reserve := 0.0
	if standing > 0 && !gate.starved(arrival.Urgency, now) {
		reserve = gate.expected(now, room.turnover(), standing)
	}
	if !room.Known {
		share := max(room.Slots/max(room.Entries, 1), 1)
		if room.Busy < float64(room.Slots)/2 {
			share *= 2 // callers spread over the entries unevenly
		}
		room.Slots = share
		return room.waitFor(float64(room.Own) + 1 + min(reserve, maxReserveShare*float64(room.Slots)))
	}
	if arrival.Attempt == AttemptReturned {
		reserve *= returnedReserveShare
	}
	return room.waitFor(room.Busy + min(reserve*float64(max(room.Entries, 1)), maxReserveShare*float64(room.Slots)))
}

// expected returns how many arrivals of a better standing this entry will get within a time: by their rates, or the returns that it has asked for if
// these are more.
func (gate *Gate) expected(now time.Time, within time.Duration, standing int) float64 {
	arrivals := 0.0
	for other, rate := range gate.rates {
		if other < standing {
			arrivals += rate.current(now, rateMemory)
		}
	}
	returns := float64(gate.calendar.due(now, rateMemory, standing)) / rateMemory.Seconds()
	return max(arrivals, returns) * within.Seconds()
}

// patience returns how long an arrival may wait for a slot: half of its objective, or longer if its caller has returned and has no later chance. While
// more urgent ones are in use, it waits for none: it would fill the ranks and lengthen the passes of all.
func (gate *Gate) patience(now time.Time, arrival Arrival) time.Duration {
	if gate.outranked(now, arrival.Urgency) && !gate.starved(arrival.Urgency, now) {
		return 0
	}
	if arrival.Attempt == AttemptReturned {
		return returnedPatience * arrival.Objective
	}
	return time.Duration(maxWaitShare * float64(arrival.Objective))
}

// outranked returns whether more urgent requests are a material share of the recent arrivals.
func (gate *Gate) outranked(now time.Time, urgency int) bool {
	all, before := 0.0, 0.0
	for other, class := range gate.classes {
		arrived := class.arrived.current(now, shareMemory)
		all += arrived
		if other < urgency {
			before += arrived
		}
	}
	return before > minUrgentShare*all
}

// passes returns whether an arrival gets a place before the less urgent requests that wait: the ranks admit more urgent ones first.
func (gate *Gate) passes(arrival Arrival, room Room) bool {
	if room.Slots <= 0 {
		return true
	}
	own, behind := 1, 0
	for urgency, class := range gate.classes {
		if urgency <= arrival.Urgency {
			own += class.inFlight
		} else {
			behind += class.inFlight
		}
	}
	if behind == 0 {
		return false
	}
	room.Slots = max(room.Slots/max(room.Entries, 1), 1)
	return room.waitFor(float64(own)) <= time.Duration(maxWaitShare*float64(arrival.Objective))
}

// starved returns whether a class is served far less often than all together.
func (gate *Gate) starved(urgency int, now time.Time) bool {
	arrived, admitted := 0.0, 0.0
	for _, class := range gate.classes {
		arrived += class.arrived.current(now, shareMemory)
		admitted += class.admitted.current(now, shareMemory)
	}
	class := gate.class(urgency)
	return class.admitted.current(now, shareMemory)*arrived < starvedShare*admitted*class.arrived.current(now, shareMemory)
}

// book returns when a refused caller may return, and enters it.
func (gate *Gate) book(now time.Time, arrival Arrival, room Room, standing int) time.Duration {
	return gate.promise(now, arrival, gate.freeAfter(now, arrival, room, standing), standing)
}

// freeAfter returns when a refused caller may return: at the first time at which the callers and new arrivals of a standing as good as its own leave room,
// or as late as it can if there is none.
func (gate *Gate) freeAfter(now time.Time, arrival Arrival, room Room, standing int) time.Duration {
	latest := time.Duration(returnShare * float64(arrival.Remaining))
	earliest := max(room.Wait(), room.turnover())
	perSecond := float64(room.Slots) / max(room.Duration, time.Millisecond).Seconds() / float64(max(room.Entries, 1))
	for other, rate := range gate.rates {
		if other <= standing|standingFresh && other&standingFresh != 0 {
			perSecond -= rate.current(now, rateMemory)
		}
	}
	if wait, free := gate.calendar.firstFree(now, earliest, latest, standing, perSecond); free {
		return wait + time.Duration(arrival.Jitter*float64(bucketTime))
	}
	return max(latest, earliest) - time.Duration(arrival.Jitter*float64(returnJitter))
}

// promise enters the return of a caller, which comes before its Retry-After if that leaves it too little time.
func (gate *Gate) promise(now time.Time, arrival Arrival, wait time.Duration, standing int) time.Duration {
	wait = max(wait, bucketTime)
	due := now.Add(wait)
	if latest := time.Duration(returnShare * float64(arrival.Remaining)); latest > 0 && latest < wait {
		due = now.Add(latest)
	}
	gate.refusals.remember(arrival, due)
	gate.calendar.enter(now, due, standing&^standingFresh)
	return wait
}
