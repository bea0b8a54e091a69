package switcher

import (
	"context"
	"time"

	"github.com/cranberryward/cranberryward"
)

const preparePollInterval = 10 * time.Millisecond

// RestoreRanks loads an expert map on each rank that restarted without one: the map that the other ranks run or, if all ranks restarted, the last one cached
// here or else the stored one.
func (switcher *Switcher) RestoreRanks(ctx context.Context, storedMap func(ctx context.Context) (cranberryward.ExpertMap, error)) error {
	switcher.mutex.Lock()
	defer switcher.mutex.Unlock()
	rankClients := switcher.rankClients()
	if len(rankClients) == 0 {
		return nil
	}
	states, err := States(ctx, rankClients)
	if err != nil {
		return err
	}
	running := -1
	var empty []int
	for rank, state := range states {
		if state.MapVersion != 0 {
			running = rank
		} else {
			empty = append(empty, rank)
		}
		switcher.lastFencing = max(switcher.lastFencing, state.Fencing)
	}
	if running >= 0 {
		if err := switcher.cacheMap(ctx, rankClients[running], states[running].MapVersion); err != nil {
			return err
		}
	}
	if len(empty) == 0 {
		return nil
	}
	expertMap := switcher.lastMap
	if expertMap.IsZero() {
		if expertMap, err = storedMap(ctx); err != nil || expertMap.IsZero() {
			return err
		}
	}
	for _, rank := range empty {
		if err := switcher.restoreRank(ctx, rankClients[rank], expertMap); err != nil {
			return err
		}
		_ = switcher.logger.Log("event", "rank_restored", "group", switcher.group, "rank", rank, "version", expertMap.Version)
	}
	return nil
}

// CheckProgress returns whether the first rank has entered a step since the last call, which it cannot while any rank has no expert map.
func (switcher *Switcher) CheckProgress(ctx context.Context) bool {
	switcher.mutex.Lock()
	defer switcher.mutex.Unlock()
	rankClients := switcher.rankClients()
	if len(rankClients) == 0 {
		return false
	}
	state, err := rankClients[0].State(ctx)
	if err != nil || state.MapVersion == 0 || state.Step == switcher.lastStep {
		return false
	}
	switcher.lastStep = state.Step
	return switcher.cacheMap(ctx, rankClients[0], state.MapVersion) == nil
}

// cacheMap keeps the map that the group runs, for when every rank restarts.
func (switcher *Switcher) cacheMap(ctx context.Context, rankClient RankClient, version uint64) error {
	if switcher.lastMap.Version == version {
		return nil
	}
	expertMap, err := rankClient.Map(ctx, version)
	if err != nil {
		return err
	}
	switcher.lastMap = expertMap
	return nil
}

func (switcher *Switcher) restoreRank(ctx context.Context, rankClient RankClient, expertMap cranberryward.ExpertMap) error {
	version := expertMap.Version
	switcher.lastFencing++
	err := rankClient.Order(ctx, cranberryward.Order{
		Kind:    cranberryward.OrderPrepare,
		Group:   switcher.group,
		Fencing: switcher.lastFencing,
		Version: version,
		Map:     expertMap,
	})
	if err != nil {
		return err
	}
	for {
		state, err := rankClient.State(ctx)
		if err != nil {
			return err
		}
		if state.HasPrepared(version) {
			switcher.lastFencing++
			return rankClient.Order(ctx, cranberryward.Order{
				Kind:    cranberryward.OrderSwitch,
				Group:   switcher.group,
				Fencing: switcher.lastFencing,
				Version: version,
				Step:    state.Step + 1,
			})
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(preparePollInterval):
		}
	}
}
