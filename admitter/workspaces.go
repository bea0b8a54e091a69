package admitter

import "time"

const (
	// minCompeting is the number of workspaces with recent arrivals below which none of them competes with the others.
	minCompeting = 3
	// excessFactor is how many times an equal share of the arrivals, and excessGrowth how many times its usual share, a workspace may ask for before its
	// requests stand behind those of the others.
	excessFactor = 4.0
	excessGrowth = 2.0
	// usualMemory is the time over which the usual share of a workspace is averaged.
	usualMemory = 30 * time.Second
	// maxExcess is the time for which more than the usual share is not taken for usual; bursts last a few seconds.
	maxExcess = 10 * time.Second
	// forgetTime is the time without arrivals after which a workspace is forgotten; little is left of its usual share then.
	forgetTime = 4 * usualMemory
)

// demand is how often a workspace has asked lately and usually.
type demand struct {
	recent rate
	usual  rate
	// excessSince is since when it asks for far more than usual, or zero, and competes is whether it has asked lately.
	excessSince time.Time
	competes    bool
}

// workspaces follows the shares of workspaces in the arrivals of an entry; its zero value is ready to use.
type workspaces struct {
	all    demand
	byName map[string]*demand
	// competing is the number of those that have asked lately, as counted anew at sweptAt.
	competing int
	sweptAt   time.Time
}

// record counts an arrival.
func (workspaces *workspaces) record(name string, now time.Time) {
	if now.Sub(workspaces.sweptAt) >= rateMemory {
		workspaces.sweep(now)
	}
	if workspaces.byName == nil {
		workspaces.byName = map[string]*demand{}
	}
	if workspaces.byName[name] == nil {
		workspaces.byName[name] = &demand{}
	}
	own := workspaces.byName[name]
	if !own.competes {
		own.competes = true
		workspaces.competing++
	}
	if !workspaces.excessive(name, now) {
		own.excessSince = time.Time{}
	} else if own.excessSince.IsZero() {
		own.excessSince = now
	}
	for _, demand := range []*demand{&workspaces.all, own} {
		demand.recent.add(now, rateMemory)
		if own.excessSince.IsZero() || now.Sub(own.excessSince) > maxExcess {
			demand.usual.add(now, usualMemory)
		}
	}
}

// sweep counts the workspaces that have asked lately and forgets those that have not asked for long.
func (workspaces *workspaces) sweep(now time.Time) {
	workspaces.sweptAt, workspaces.competing = now, 0
	for name, demand := range workspaces.byName {
		idle := now.Sub(demand.recent.at)
		demand.competes = idle <= shareMemory
		if demand.competes {
			workspaces.competing++
		}
		if idle > forgetTime {
			delete(workspaces.byName, name)
		}
	}
}

// excessive returns whether a workspace asks for far more than an equal share and far more than it usually does, while others ask too.
func (workspaces *workspaces) excessive(name string, now time.Time) bool {
	demand := workspaces.byName[name]
	if demand == nil || workspaces.competing < minCompeting {
		return false
	}
	recent := demand.recent.current(now, rateMemory) / workspaces.all.recent.current(now, rateMemory)
	usual := demand.usual.current(now, usualMemory) / workspaces.all.usual.current(now, usualMemory)
	return recent > excessFactor/float64(workspaces.competing) && recent > excessGrowth*usual
}
