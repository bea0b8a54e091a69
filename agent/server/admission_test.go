package server

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/distributor"
	"github.com/cranberryward/cranberryward/limiter"
	"github.com/cranberryward/cranberryward/quarantiner"
	"github.com/go-kit/log"
)

func newAdmittingAgent() *agent {
	return &agent{
		logger:     log.NewNopLogger(),
		localState: distributor.NewLocalState(),
		limiter:    limiter.New(limiter.NewConcurrencyLimit(initialLimit, minLimit, maxLimit), 16),
		suspects:   &quarantiner.SuspectTracker{},
		drain:      newDrain(log.NewNopLogger()),
	}
}

// TestSuspectThatWaited lets a suspect wait behind another one, and guards against sending it to a backend server that the other one has crashed, and
// against telling its caller another reason than the one that ended the wait.
func TestSuspectThatWaited(t *testing.T) {
	const running, waiting = "running", "waiting"
	for _, test := range []struct {
		name   string
		end    func(agent *agent, generation uint64)
		reason cranberryward.Reason
	}{
		{
			name: "the first suspect succeeds",
			end:  func(agent *agent, generation uint64) { agent.suspects.Leave(running, generation, true) },
		},
		{
			name: "the first suspect crashes the backend server",
			end: func(agent *agent, generation uint64) {
				down := cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonUnreachable, "no connection")
				agent.health.observe(cranberryward.RankState{}, down, "")
				agent.suspects.RecordCrash(running, generation)
			},
			reason: cranberryward.ReasonUnreachable,
		},
		{
			name:   "the backend server begins to leave",
			end:    func(agent *agent, _ uint64) { agent.drain.setLeaving(true) },
			reason: cranberryward.ReasonLeaving,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				agent := newAdmittingAgent()
				generation, err := agent.suspects.Enter(t.Context(), running, true)
				if err != nil {
					t.Fatal(err)
				}
				var admitted error
				ended := false
				go func() {
					admission := &admission{
						agent:   agent,
						request: admissionRequest{fingerprint: waiting},
					}
					refusing, err := agent.drain.begin()
					if err == nil {
						err = admission.acquire(context.Background(), refusing, true)
					}
					admitted, ended = err, true
				}()
				synctest.Wait()
				if ended {
					t.Fatalf("the second suspect did not wait: %v", admitted)
				}
				test.end(agent, generation)
				synctest.Wait()
				if !ended {
					t.Fatal("the second suspect still waits")
				}
				if test.reason == "" {
					if admitted != nil {
						t.Errorf("refused with %v, expected to be admitted", admitted)
					}
					return
				}
				failure := cranberryward.FailureOf(admitted)
				if admitted == nil || failure.Reason() != test.reason || failure.Verdict() != cranberryward.NotRun {
					t.Errorf("admitted with error %v, expected %s, not run", admitted, test.reason)
				}
			})
		})
	}
}
