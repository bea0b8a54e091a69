package deduplicator

import (
	"slices"
	"sort"
	"time"

	"github.com/cranberryward/cranberryward"
)

// Assign returns the table with a listed instance as the home of every shard whose home is missing, and whether anything changed.
func Assign(table Table, listed []cranberryward.Instance, missing func(instance string) bool, now time.Time, wait time.Duration) (Table, bool) {
	live := slices.DeleteFunc(slices.Clone(listed), func(instance cranberryward.Instance) bool { return instance.Leaving })
	if len(live) == 0 {
		return table, false
	}
	counts := map[string]int{}
	for _, home := range table.Homes {
		counts[home.Instance]++
	}
	changed := false
	for shard, home := range table.Homes {
		next, move := nextHome(home, live, missing, counts)
		if !move {
			continue
		}
		counts[home.Instance]--
		counts[next.ID]++
		changed = true
		table.Homes[shard] = newHome(next)
		if home.Instance == "" {
			continue
		}
		if next.ID == home.Instance {
			table.Homes[shard].SinceMillis = max(home.SinceMillis, incarnationStart(next, now).UnixMilli())
			table.Homes[shard].WaitMillis = home.WaitMillis
			continue
		}
		// The earlier home may go on admitting keys until its authority has expired.
		table.Homes[shard].SinceMillis = now.Add(wait).UnixMilli()
		table.Homes[shard].WaitMillis = wait.Milliseconds()
	}
	if changed {
		table.Epoch++
	}
	return table, changed
}

// incarnationStart returns when this incarnation of an instance started, by which time the one before it had ended.
func incarnationStart(instance cranberryward.Instance, now time.Time) time.Time {
	if started, ok := KeyTime(instance.Incarnation); ok && started.Before(now) {
		return started
	}
	return now
}

func nextHome(home Home, live []cranberryward.Instance, missing func(instance string) bool, counts map[string]int) (cranberryward.Instance, bool) {
	for _, instance := range live {
		if instance.ID == home.Instance {
			// The list lags behind, so it may still show an earlier incarnation than the table does.
			return instance, instance.Incarnation > home.Incarnation
		}
	}
	if home.Instance != "" && !missing(home.Instance) {
		return cranberryward.Instance{}, false
	}
	return leastLoaded(live, counts), true
}

func leastLoaded(live []cranberryward.Instance, counts map[string]int) cranberryward.Instance {
	candidates := slices.Clone(live)
	sort.SliceStable(candidates, func(i, j int) bool {
		if counts[candidates[i].ID] != counts[candidates[j].ID] {
			return counts[candidates[i].ID] < counts[candidates[j].ID]
		}
		return candidates[i].ID < candidates[j].ID
	})
	return candidates[0]
}

func newHome(instance cranberryward.Instance) Home {
	return Home{
		Instance:    instance.ID,
		Address:     instance.Address,
		PeerAddress: instance.PeerAddress,
		Incarnation: instance.Incarnation,
	}
}

// ExcessShards returns the shards of an instance beyond an equal share among the listed instances that are not leaving.
func ExcessShards(table Table, instance string, listed []cranberryward.Instance) []int {
	live := 0
	for _, other := range listed {
		if !other.Leaving {
			live++
		}
	}
	var own []int
	for shard, home := range table.Homes {
		if home.Instance == instance {
			own = append(own, shard)
		}
	}
	if live == 0 {
		return nil
	}
	if fair := (ShardCount + live - 1) / live; len(own) > fair {
		return own[fair:]
	}
	return nil
}

// HandOver returns the table after some shards of an instance moved to another one that has imported their keys.
func HandOver(table Table, from string, to cranberryward.Instance, moved, waited func(shard int) bool) (Table, bool) {
	changed := false
	for shard, home := range table.Homes {
		if home.Instance != from || !moved(shard) {
			continue
		}
		next := newHome(to)
		next.SinceMillis = home.SinceMillis
		if !waited(shard) {
			next.WaitMillis = home.WaitMillis
		}
		table.Homes[shard] = next
		changed = true
	}
	if changed {
		table.Epoch++
	}
	return table, changed
}
