package switcher

import (
	"context"
	"time"

	"github.com/cranberryward/cranberryward"
)

const preparePoll = 10 * time.Millisecond

// RestoreRanks gives each rank that restarted with nothing the expert map that the other ranks run.
func (switcher *Switcher) RestoreRanks(ctx context.Context) error {
	switcher.mutex.Lock()
	defer switcher.mutex.Unlock()
	ports := switcher.ports()
	if len(ports) == 0 {
		return nil
	}
	states, err := States(ctx, ports)
	if err != nil {
		return err
	}
	version, source := uint64(0), -1
	for rank, state := range states {
		if state.MapVersion != 0 {
			version, source = state.MapVersion, rank
		}
		switcher.used = max(switcher.used, state.Fencing)
	}
	for rank, state := range states {
		if source < 0 || state.MapVersion != 0 {
			continue
		}
		if err := switcher.restoreRank(ctx, ports[rank], ports[source], version); err != nil {
			return err
		}
		_ = switcher.logger.Log("event", "rank_restored", "group", switcher.group, "rank", rank, "version", version)
	}
	return nil
}

func (switcher *Switcher) restoreRank(ctx context.Context, port, source Port, version uint64) error {
	expertMap, err := source.Map(ctx, version)
	if err != nil {
		return err
	}
	switcher.used++
	err = port.Order(ctx, cranberryward.Order{
		Kind:    cranberryward.OrderPrepare,
		Group:   switcher.group,
		Fencing: switcher.used,
		Version: version,
		Map:     expertMap,
	})
	if err != nil {
		return err
	}
	for {
		state, err := port.State(ctx)
		if err != nil {
			return err
		}
		if state.HasPrepared(version) {
			switcher.used++
			return port.Order(ctx, cranberryward.Order{
				Kind:    cranberryward.OrderSwitch,
				Group:   switcher.group,
				Fencing: switcher.used,
				Version: version,
				Step:    state.Step + 1,
			})
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(preparePoll):
		}
	}
}
