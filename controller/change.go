package controller

import (
	"context"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/charter"
	"github.com/cranberryward/cranberryward/messenger"
	"github.com/cranberryward/cranberryward/switcher"
	"golang.org/x/sync/errgroup"
)

const (
	eventPrepare  = charter.Event("prepare")
	eventPrepared = charter.Event("prepared")
	eventCommit   = charter.Event("commit")
	eventAbandon  = charter.Event("abandon")
)

var chart = charter.MustLoad("change", eventPrepare, eventPrepared, eventCommit, eventAbandon)

// applyMap reserves a version for the new map, loads its weights on every rank, commits it to the key-value service, and asks the agent of the first rank to
// switch the group. A version that does not come into force is discarded, also one that an earlier controller left behind.
func (controller *Controller) applyMap(ctx context.Context, ranks []cranberryward.Instance, current, next cranberryward.ExpertMap) (bool, error) {
	machine := chart.Start()
	record, left, revision, err := controller.reserveVersion(ctx, current, next)
	if err != nil {
		return false, err
	}
	if left != 0 {
		controller.discardVersion(ctx, ranks, left)
	}
	_ = machine.Fire(eventPrepare)
	if err := controller.prepareRanks(ctx, ranks, record.Map); err != nil {
		_ = machine.Fire(eventAbandon)
		controller.discardVersion(ctx, ranks, record.Version)
		return false, err
	}
	_ = machine.Fire(eventPrepared)
	fencing, held := controller.lease.Held()
	if !held {
		return false, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonFenced, "the group's lease was lost during the change")
	}
	record.State = stateCommitted
	record.Fencing = fencing
	if err := controller.commit(ctx, record, revision); err != nil {
		_ = machine.Fire(eventAbandon)
		if cranberryward.VerdictOf(err) == cranberryward.NotRun {
			controller.discardVersion(ctx, ranks, record.Version)
		}
		return false, err
	}
	_ = machine.Fire(eventCommit)
	return controller.executeChange(ctx, ranks, current.Version, record, fencing)
}

// reserveVersion records a version that no other controller can use for another map, and returns the recorded version that it replaces if that is not in
// force, or zero.
func (controller *Controller) reserveVersion(ctx context.Context, current, next cranberryward.ExpertMap) (record Record, left, revision uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	fencing, held := controller.lease.Held()
	if !held {
		return Record{}, 0, 0, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonFenced, "the group's lease is not held")
	}
	record, revision, err = ReadRecord(ctx, controller.store, controller.group)
	if err != nil {
		return Record{}, 0, 0, err
	}
	if record.Version != current.Version {
		left = record.Version
	}
	next.Version = max(record.Version, current.Version) + 1
	record = Record{
		Version: next.Version,
		State:   statePreparing,
		Fencing: fencing,
		Map:     next,
	}
	revision, err = writeRecord(ctx, controller.store, controller.group, record, revision)
	return record, left, revision, err
}

// commit records the map as committed and, if the outcome of the write is unknown, reads the record back to find out.
func (controller *Controller) commit(ctx context.Context, record Record, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := writeRecord(ctx, controller.store, controller.group, record, revision)
	if err == nil || cranberryward.VerdictOf(err) == cranberryward.NotRun {
		return err
	}
	stored, _, readErr := ReadRecord(ctx, controller.store, controller.group)
	if readErr == nil && stored.Version == record.Version && stored.Fencing == record.Fencing && stored.State == stateCommitted {
		return nil
	}
	return err
}

func (controller *Controller) sendOrder(ctx context.Context, rank cranberryward.Instance, order cranberryward.Order) error {
	fencing, held := controller.lease.Held()
	if !held {
		return cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonFenced, "the group's lease is not held")
	}
	order.Group = controller.group
	order.Fencing = switcher.FirstOrderFencing(fencing)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	state, err := controller.rankState(ctx, rank)
	if err != nil {
		return err
	}
	if state.Fencing < switcher.FirstOrderFencing(fencing+1) {
		order.Fencing = max(order.Fencing, state.Fencing)
	}
	var reply messenger.OrderReply
	return controller.client.Call(ctx, rank.PeerAddress, "Agent.Order", switcher.OrderRequest{
		Order:       order,
		Incarnation: rank.Incarnation,
	}, &reply)
}

func (controller *Controller) rankState(ctx context.Context, rank cranberryward.Instance) (cranberryward.RankState, error) {
	var state cranberryward.RankState
	err := controller.client.Call(ctx, rank.PeerAddress, "Agent.State", messenger.StateRequest{}, &state)
	return state, err
}

func (controller *Controller) prepareRanks(ctx context.Context, ranks []cranberryward.Instance, expertMap cranberryward.ExpertMap) error {
	ctx, cancel := context.WithTimeout(ctx, controller.settings.PrepareLimit)
	defer cancel()
	preparing, ctx := errgroup.WithContext(ctx)
	for _, rank := range ranks {
		preparing.Go(func() error { return controller.prepareRank(ctx, rank, expertMap) })
	}
	return preparing.Wait()
}

// prepareRank orders a rank to load a map and waits until it has; it fails if the rank restarts, because a restarted rank no longer has the order.
func (controller *Controller) prepareRank(ctx context.Context, rank cranberryward.Instance, expertMap cranberryward.ExpertMap) error {
	before, err := controller.rankState(ctx, rank)
	if err != nil {
		return err
	}
	err = controller.sendOrder(ctx, rank, cranberryward.Order{
		Kind:    cranberryward.OrderPrepare,
		Version: expertMap.Version,
		Map:     expertMap,
	})
	if err != nil {
		return err
	}
	for {
		if err := controller.checkQuietWindow(); err != nil {
			return err
		}
		state, err := controller.rankState(ctx, rank)
		switch {
		case err != nil:
			return err
		case state.Incarnation != before.Incarnation:
			return cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonWrongIncarnation, "rank "+rank.ID+" restarted while loading expert weights")
		case state.HasPrepared(expertMap.Version):
			return nil
		}
		select {
		case <-ctx.Done():
			return cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonDeadline, "rank "+rank.ID+" did not load its expert weights in time")
		case <-time.After(preparePollInterval):
		}
	}
}

// checkQuietWindow returns a failure if a quiet window is open or opens before a change that starts now could end.
func (controller *Controller) checkQuietWindow() error {
	now := time.Now()
	window, quiet := controller.localState.EffectiveConfiguration().Calendar().Overlapping(controller.settings.Zone, now, now.Add(controller.settings.ChangeTime), controller.settings.ClockError)
	if quiet {
		return cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonQuietWindow, "quiet window "+window.Name()+" is open or opens before the change could end")
	}
	return nil
}

func (controller *Controller) discardVersion(ctx context.Context, ranks []cranberryward.Instance, version uint64) {
	var discarding errgroup.Group
	for _, rank := range ranks {
		discarding.Go(func() error {
			return controller.sendOrder(ctx, rank, cranberryward.Order{
				Kind:    cranberryward.OrderDiscard,
				Version: version,
			})
		})
	}
	if err := discarding.Wait(); err != nil {
		_ = controller.logger.Log("event", "discard_failed", "version", version, "error", err)
	}
}

func (controller *Controller) executeChange(ctx context.Context, ranks []cranberryward.Instance, from uint64, record Record, fencing uint64) (bool, error) {
	if err := controller.checkQuietWindow(); err != nil {
		controller.discardVersion(ctx, ranks, record.Version)
		return false, err
	}
	changeCtx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	var outcome switcher.Outcome
	err := controller.client.Call(changeCtx, ranks[0].PeerAddress, "Agent.Change", switcher.Change{
		Group:       controller.group,
		Fencing:     fencing,
		FromVersion: from,
		ToVersion:   record.Version,
		Revision:    controller.localState.Revision(),
	}, &outcome)
	_ = controller.logger.Log("event", "change_ended", "from", from, "to", record.Version, "state", outcome.State, "step", outcome.Step,
		"held_ms", outcome.HeldMillis, "fencing", fencing, "error", err)
	if err != nil {
		if cranberryward.VerdictOf(err) == cranberryward.NotRun {
			controller.discardVersion(ctx, ranks, record.Version)
		}
		return false, err
	}
	controller.discardVersion(ctx, ranks, from)
	return true, nil
}
