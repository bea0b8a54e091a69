package agent

import (
	"context"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/meter"
	"github.com/cranberryward/cranberryward/rebalancer"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// settleAttempts is how often a guard tries to end a hold before it listens for a controller again.
	settleAttempts = 3
	// settleLimit bounds one attempt.
	settleLimit = 2 * time.Second
)

// holdGuard ends the hold of the rank beside it if no controller is heard, which may be frozen, gone or cut off.
type holdGuard struct {
	rankService *rankService
	group       rebalancer.Group
	logger      log.Logger
}

// run guards the rank until the context ends.
func (holdGuard *holdGuard) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-holdGuard.rankService.holds.changed:
		}
		for ctx.Err() == nil && holdGuard.rankService.holds.isHeld() {
			if wait := holdGuard.patience() - holdGuard.rankService.unheard(); wait > 0 {
				_ = sleep(ctx, wait) // the loop ends with the context
				continue
			}
			holdGuard.settle(ctx)
		}
	}
}

// patience returns how long to wait for a controller. A later one than that of the hold resolves it and may need longer to observe a group with lost ranks.
func (holdGuard *holdGuard) patience() time.Duration {
	if rebalancer.SameController(holdGuard.rankService.lastTerm(), holdGuard.rankService.holds.controllerTerm()) {
		return rebalancer.HoldPatience
	}
	return electionTimeout
}

// settle ends the hold if the rank is still held. The hold is looked at again before each attempt: a controller that works on may have ended it and begun
// another change meanwhile.
func (holdGuard *holdGuard) settle(ctx context.Context) {
	begun := time.Now()
	var settler *rebalancer.Rebalancer
	term, step := uint64(0), uint64(0)
	for range settleAttempts {
		observation, _, err := observe(holdGuard.rankService.rank, rebalancer.Query{})
		if err != nil {
			_ = level.Info(holdGuard.logger).Log("event", "hold_not_ended", "error", err)
			_ = sleep(ctx, groupRetry) // the caller's loop ends with the context
			return
		}
		report := observation.Report
		holdGuard.rankService.recordReport(report)
		if report.Held == 0 || step != 0 && report.Held != step {
			return
		}
		if settler == nil {
			term, step = rebalancer.GuardTerm(holdGuard.rankService.lastTerm(), report.Rank), report.Held
			settler = rebalancer.New(guardedGroup{holdGuard.group}, term, holdGuard.logger)
		}
		attempt, cancel := context.WithTimeout(ctx, settleLimit)
		closed := holdGuard.rankService.holds.closeChange(term)
		closed.HeldRank = report.Rank
		err = settler.Settle(attempt, closed)
		cancel()
		if err == nil {
			meter.CountHoldEnded()
			_ = level.Info(holdGuard.logger).Log("event", "hold_ended", "term", term, "step", step, "ms", time.Since(begun).Milliseconds())
			return
		}
		_ = level.Info(holdGuard.logger).Log("event", "hold_not_ended", "term", term, "step", step, "error", err)
		if ctx.Err() != nil {
			return
		}
	}
}

// guardedGroup is the group as a guard sees it, which leaves it to the controller to announce the loads.
type guardedGroup struct{ rebalancer.Group }

// HandleReports does nothing.
func (guardedGroup) HandleReports(map[string]cranberryward.RankReport, time.Duration) {}
