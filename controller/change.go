package controller

import (
	"context"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/charter"
	"github.com/cranberryward/cranberryward/messenger"
	"github.com/cranberryward/cranberryward/planner"
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

// change carries a decision out: a version of its own, weights on every rank, the commit, and then the switch driven by the gate.
func (group *Group) change(ctx context.Context, ranks []cranberryward.Instance, present cranberryward.ExpertMap, decision planner.Decision) (bool, error) {
	machine := chart.Start()
	record, revision, err := group.allocate(ctx, present, decision.Map())
	if err != nil {
		return false, err
	}
	_ = machine.Fire(eventPrepare)
	if err := group.prepare(ctx, ranks, record.Map); err != nil {
		_ = machine.Fire(eventAbandon)
		group.discard(ctx, ranks, record.Version)
		return false, err
	}
	_ = machine.Fire(eventPrepared)
	fencing, held := group.lease.Held()
	if !held {
		return false, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonFenced, "the group's lease was lost during the change")
	}
	record.State = stateCommitted
	record.Fencing = fencing
	if err := group.commit(ctx, record, revision); err != nil {
		_ = machine.Fire(eventAbandon)
		return false, err
	}
	_ = machine.Fire(eventCommit)
	return group.execute(ctx, ranks, present.Version, record, fencing)
}

// allocate reserves a version that no other controller can use for another map.
func (group *Group) allocate(ctx context.Context, present, next cranberryward.ExpertMap) (Record, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	fencing, held := group.lease.Held()
	if !held {
		return Record{}, 0, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonFenced, "the group's lease is not held")
	}
	record, revision, err := ReadRecord(ctx, group.store, group.name)
	if err != nil {
		return Record{}, 0, err
	}
	next.Version = max(record.Version, present.Version) + 1
	record = Record{
		Version: next.Version,
		State:   statePreparing,
		Fencing: fencing,
		Map:     next,
	}
	revision, err = writeRecord(ctx, group.store, group.name, record, revision)
	return record, revision, err
}

// commit records the decision, and asks again what is recorded when the answer was lost.
func (group *Group) commit(ctx context.Context, record Record, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := writeRecord(ctx, group.store, group.name, record, revision)
	if err == nil || cranberryward.VerdictOf(err) == cranberryward.NotRun {
		return err
	}
	kept, _, readErr := ReadRecord(ctx, group.store, group.name)
	if readErr == nil && kept.Version == record.Version && kept.Fencing == record.Fencing && kept.State == stateCommitted {
		return nil
	}
	return err
}

func (group *Group) order(ctx context.Context, rank cranberryward.Instance, order cranberryward.Order) error {
	fencing, held := group.lease.Held()
	if !held {
		return cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonFenced, "the group's lease is not held")
	}
	order.Group = group.name
	order.Fencing = switcher.FencingOf(fencing)
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	state, err := group.state(ctx, rank)
	if err != nil {
		return err
	}
	if state.Fencing < switcher.FencingOf(fencing+1) {
		order.Fencing = max(order.Fencing, state.Fencing)
	}
	var reply messenger.OrderReply
	return group.client.Call(ctx, rank.PeerAddress, "Agent.Order", switcher.Envelope{
		Order:       order,
		Incarnation: rank.Incarnation,
	}, &reply)
}

func (group *Group) state(ctx context.Context, rank cranberryward.Instance) (cranberryward.RankState, error) {
	var state cranberryward.RankState
	err := group.client.Call(ctx, rank.PeerAddress, "Agent.State", messenger.StateRequest{}, &state)
	return state, err
}

func (group *Group) prepare(ctx context.Context, ranks []cranberryward.Instance, expertMap cranberryward.ExpertMap) error {
	ctx, cancel := context.WithTimeout(ctx, group.settings.PrepareLimit)
	defer cancel()
	preparing, ctx := errgroup.WithContext(ctx)
	for _, rank := range ranks {
		preparing.Go(func() error { return group.prepareRank(ctx, rank, expertMap) })
	}
	return preparing.Wait()
}

// prepareRank waits until a rank has loaded a map; one that restarts has forgotten the order and would never end.
func (group *Group) prepareRank(ctx context.Context, rank cranberryward.Instance, expertMap cranberryward.ExpertMap) error {
	before, err := group.state(ctx, rank)
	if err != nil {
		return err
	}
	err = group.order(ctx, rank, cranberryward.Order{
		Kind:    cranberryward.OrderPrepare,
		Version: expertMap.Version,
		Map:     expertMap,
	})
	if err != nil {
		return err
	}
	for {
		if err := group.mayGoOn(); err != nil {
			return err
		}
		state, err := group.state(ctx, rank)
		switch {
		case err != nil:
			return err
		case state.Incarnation != before.Incarnation:
			return cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonWrongIncarnation, "rank "+rank.ID+" restarted while it loaded its weights")
		case state.HasPrepared(expertMap.Version):
			return nil
		}
		select {
		case <-ctx.Done():
			return cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonDeadline, "rank "+rank.ID+" did not load its weights in time")
		case <-time.After(preparePoll):
		}
	}
}

// mayGoOn stops a change under way when a quiet window has opened or opens before the change could end.
func (group *Group) mayGoOn() error {
	now := time.Now()
	window, quiet := group.holder.Effect().Calendar().Quiet(group.settings.Zone, now, now.Add(group.settings.ChangeTime), group.settings.ClockError)
	if quiet {
		return cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonQuietWindow, "the quiet window "+window.Name()+" stops the change")
	}
	return nil
}

func (group *Group) discard(ctx context.Context, ranks []cranberryward.Instance, version uint64) {
	var discarding errgroup.Group
	for _, rank := range ranks {
		discarding.Go(func() error {
			return group.order(ctx, rank, cranberryward.Order{
				Kind:    cranberryward.OrderDiscard,
				Version: version,
			})
		})
	}
	if err := discarding.Wait(); err != nil {
		_ = group.logger.Log("event", "discard_failed", "version", version, "error", err)
	}
}

func (group *Group) execute(ctx context.Context, ranks []cranberryward.Instance, from uint64, record Record, fencing uint64) (bool, error) {
	if err := group.mayGoOn(); err != nil {
		return false, err
	}
	attempt, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	var outcome switcher.Outcome
	err := group.client.Call(attempt, ranks[0].PeerAddress, "Agent.Change", switcher.Change{
		Group:       group.name,
		Fencing:     fencing,
		FromVersion: from,
		ToVersion:   record.Version,
		Revision:    group.holder.Revision(),
	}, &outcome)
	_ = group.logger.Log("event", "change_ended", "from", from, "to", record.Version, "state", outcome.State, "step", outcome.Step,
		"held_ms", outcome.HeldMillis, "fencing", fencing, "error", err)
	if err != nil {
		if cranberryward.VerdictOf(err) == cranberryward.NotRun {
			group.discard(ctx, ranks, record.Version)
		}
		return false, err
	}
	group.discard(ctx, ranks, from)
	return true, nil
}
