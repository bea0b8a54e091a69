package quarantiner

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberryward/cranberryward"
)

const engine = "engine"

// newPartTracker returns a tracker of a process that has answered enough requests to tell new parts from others.
func newPartTracker() *PartTracker {
	var partTracker PartTracker
	for i := range minServedParts {
		partTracker.RecordServed(engine, []string{fmt.Sprint("early-", i)})
	}
	return &partTracker
}

// exchangeReports passes reports between trackers, as entries do, until none has anything to report in turn.
func exchangeReports(partTrackers ...*PartTracker) {
	for range len(partTrackers) {
		for _, from := range partTrackers {
			reports := from.Reports()
			for _, to := range partTrackers {
				if to != from {
					to.Merge(reports)
				}
			}
		}
	}
}

func quarantined(partTracker *PartTracker, parts ...string) bool {
	return partTracker.Check(engine, parts).Blocked()
}

// TestPartTracker guards against crashes by requests that share a part, and against refusing sound requests that share other parts with them: "bad" is the
// part that crashes backend servers, and "caller" one that sound requests have too.
func TestPartTracker(t *testing.T) {
	crash := func(partTracker *PartTracker, server string) {
		partTracker.RecordCrash(engine, server, []string{"caller", "bad"}, true)
	}
	for name, test := range map[string]struct {
		events      func(local, peer *PartTracker)
		bad, caller bool
	}{
		"no crash": {func(local, _ *PartTracker) {
			local.RecordServed(engine, []string{"caller", "bad"})
		}, false, false},
		"a new part crashes a backend server that has begun to answer": {func(local, _ *PartTracker) {
			local.RecordServed(engine, []string{"caller", "own"})
			crash(local, "i-1")
		}, true, false},
		"all parts are new here, and a peer has answered one of them": {func(local, peer *PartTracker) {
			peer.RecordServed(engine, []string{"caller", "own"})
			crash(local, "i-1")
		}, true, false},
		"all parts are new everywhere": {func(local, _ *PartTracker) {
			crash(local, "i-1")
		}, true, true},
		"one crash of a part that was answered before": {func(local, _ *PartTracker) {
			local.RecordServed(engine, []string{"caller", "bad"})
			crash(local, "i-1")
		}, false, false},
		"two crashes of a part that was answered before, and an answer to another request between them": {func(local, _ *PartTracker) {
			local.RecordServed(engine, []string{"caller", "bad"})
			crash(local, "i-1")
			time.Sleep(time.Second)
			local.RecordServed(engine, []string{"caller", "own"})
			crash(local, "i-2")
		}, true, false},
		"the same at two entries": {func(local, peer *PartTracker) {
			peer.RecordServed(engine, []string{"caller", "bad"})
			crash(local, "i-1")
			exchangeReports(local, peer)
			time.Sleep(time.Second)
			local.RecordServed(engine, []string{"caller", "own"})
			exchangeReports(local, peer)
			crash(peer, "i-2")
		}, true, false},
		"two entries see one crash of parts that were answered before": {func(local, peer *PartTracker) {
			for _, partTracker := range []*PartTracker{local, peer} {
				partTracker.RecordServed(engine, []string{"caller", "bad"})
				crash(partTracker, "i-1")
			}
		}, false, false},
		"answered between two crashes": {func(local, _ *PartTracker) {
			local.RecordServed(engine, []string{"caller", "bad"})
			crash(local, "i-1")
			time.Sleep(time.Second)
			local.RecordServed(engine, []string{"caller", "bad"})
			crash(local, "i-2")
		}, false, false},
		"answered at a peer after the crash that quarantined it": {func(local, peer *PartTracker) {
			crash(local, "i-1")
			exchangeReports(local, peer)
			time.Sleep(time.Second)
			peer.RecordServed(engine, []string{"caller", "bad"})
		}, false, false},
		"two crashes while requests waited": {func(local, _ *PartTracker) {
			local.RecordCrash(engine, "i-1", []string{"caller", "bad"}, false)
			local.RecordCrash(engine, "i-2", []string{"caller", "bad"}, false)
		}, false, false},
		"three crashes while requests waited, and answers to other requests between them": {func(local, _ *PartTracker) {
			for i := range 3 {
				local.RecordCrash(engine, fmt.Sprint("i-", i), []string{"caller", "bad"}, false)
				time.Sleep(time.Second)
				local.RecordServed(engine, []string{"caller", "own"})
			}
		}, true, false},
		"a process that has just started needs two crashes": {func(local, _ *PartTracker) {
			var started PartTracker
			started.RecordCrash(engine, "i-1", []string{"caller", "bad"}, true)
			local.Merge(started.Reports())
		}, false, false},
		"a part of another service": {func(local, _ *PartTracker) {
			local.RecordCrash("other", "i-1", []string{"caller", "bad"}, true)
		}, false, false},
		"a crash long ago": {func(local, _ *PartTracker) {
			crash(local, "i-1")
			time.Sleep(firstQuarantine + probeWindow + time.Second)
		}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				local, peer := newPartTracker(), newPartTracker()
				test.events(local, peer)
				exchangeReports(local, peer)
				for which, partTracker := range map[string]*PartTracker{"local": local, "peer": peer} {
					if bad := quarantined(partTracker, "bad"); bad != test.bad {
						t.Errorf("%s: the crashing part is quarantined: %t, expected %t", which, bad, test.bad)
					}
					if caller := quarantined(partTracker, "caller"); caller != test.caller {
						t.Errorf("%s: the caller's part is quarantined: %t, expected %t", which, caller, test.caller)
					}
				}
			})
		})
	}
}

// TestQuarantineOutlivesTheProcess guards against a process that starts and sends what its peers have quarantined, whether the store serves it or only peers do.
func TestQuarantineOutlivesTheProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local := newPartTracker()
		local.RecordCrash(engine, "i-1", []string{"bad"}, true)
		time.Sleep(2 * recentWindow)
		var peersOnly PartTracker
		for range 20 {
			peersOnly.Merge(local.Reports())
			time.Sleep(recentWindow / 4)
		}
		if !quarantined(&peersOnly, "bad") {
			t.Error("a process that started later was not told by a peer")
		}
		unsaved := local.Unsaved(1)
		if len(unsaved) != 1 {
			t.Fatalf("%d quarantines are to be stored, expected 1", len(unsaved))
		}
		unsaved[0].Revision = 7
		local.MarkSaved(unsaved[0])
		if again := local.Unsaved(1); len(again) != 0 {
			t.Errorf("a stored quarantine is to be stored again: %+v", again)
		}
		var storeOnly PartTracker
		storeOnly.MergeStored(map[string]cranberryward.Quarantine{"key": unsaved[0]}, cranberryward.Position{Revision: 7})
		if !quarantined(&storeOnly, "bad") {
			t.Error("a process that started later did not take the quarantine from the store")
		}
		storeOnly.MergeStored(nil, cranberryward.Position{Revision: 8})
		if !quarantined(&storeOnly, "bad") {
			t.Error("the quarantine ended because the store lost the key")
		}
		unsaved[0].Level, unsaved[0].Revision = 0, 9
		storeOnly.MergeStored(map[string]cranberryward.Quarantine{"key": unsaved[0]}, cranberryward.Position{Revision: 9})
		if quarantined(&storeOnly, "bad") {
			t.Error("the quarantine goes on although the part was found to be sound")
		}
	})
}

// TestQuarantinesAreSharedByDeadline guards against each process extending the quarantine by the time at which it learned of it.
func TestQuarantinesAreSharedByDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local := newPartTracker()
		local.RecordCrash(engine, "i-1", []string{"bad"}, true)
		time.Sleep(firstQuarantine / 2)
		var peer PartTracker
		peer.Merge(local.Reports())
		if remaining := peer.Check(engine, []string{"bad"}).Remaining(); remaining > firstQuarantine/2 {
			t.Errorf("%s of the quarantine remain at the peer, expected %s", remaining, firstQuarantine/2)
		}
	})
}

// TestProbeEndsOrExtendsAQuarantine checks that a quarantine ends in one request, whose answer ends it everywhere and whose crash doubles it.
func TestProbeEndsOrExtendsAQuarantine(t *testing.T) {
	for name, sound := range map[string]bool{"the part is sound again": true, "the part still crashes backend servers": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				local, peer := newPartTracker(), newPartTracker()
				local.RecordCrash(engine, "i-1", []string{"bad"}, true)
				exchangeReports(local, peer)
				if _, due := local.Probe(cranberryward.PromptPart{
					Service: engine,
					ID:      "bad",
				}); due {
					t.Fatal("a probe is due while the quarantine lasts")
				}
				time.Sleep(firstQuarantine)
				verdict := local.Check(engine, []string{"bad"})
				if !verdict.Blocked() || !verdict.ProbeDue() {
					t.Fatalf("the end of the quarantine yields %+v, expected a probe", verdict)
				}
				next, due := local.Probe(verdict.Part())
				if !due || next.Level != 2 || time.Until(next.Until) != 2*firstQuarantine {
					t.Fatalf("the next quarantine is %+v", next)
				}
				next.Revision = 9
				local.MarkSaved(next)
				peer.MergeStored(map[string]cranberryward.Quarantine{"key": next}, cranberryward.Position{Revision: 9})
				if verdict := peer.Check(engine, []string{"bad"}); !verdict.Blocked() || verdict.ProbeDue() {
					t.Fatalf("the peer may probe as well: %+v", verdict)
				}
				if sound {
					local.RecordServed(engine, []string{"bad"})
				} else {
					local.RecordCrash(engine, "i-2", []string{"bad"}, true)
				}
				exchangeReports(local, peer)
				for which, partTracker := range map[string]*PartTracker{"local": local, "peer": peer} {
					if blocked := quarantined(partTracker, "bad"); blocked == sound {
						t.Errorf("%s: quarantined is %t after the probe", which, blocked)
					}
				}
				if sound {
					time.Sleep(contestTime)
					if ended := local.Unsaved(1); len(ended) != 1 || ended[0].Level != 0 || ended[0].Revision != 9 {
						t.Errorf("the end is to be stored as %+v", ended)
					}
				}
			})
		})
	}
}

// TestTwoQuarantinedPartsAreNotProbedTogether guards against a probe whose crash does not tell which part caused it.
func TestTwoQuarantinedPartsAreNotProbedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local := newPartTracker()
		local.RecordCrash(engine, "i-1", []string{"bad"}, true)
		local.RecordCrash(engine, "i-2", []string{"worse"}, true)
		time.Sleep(firstQuarantine)
		if verdict := local.Check(engine, []string{"bad", "worse"}); !verdict.Blocked() || verdict.ProbeDue() {
			t.Errorf("two quarantined parts yield %+v", verdict)
		}
	})
}

// TestPartsAreBounded guards against callers whose requests have many parts: the memory stays bounded, and the quarantines in force outlive suspects.
func TestPartsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local := newPartTracker()
		local.RecordCrash(engine, "i-0", []string{"bad"}, true)
		for i := range 4 * maxSuspects {
			local.RecordCrash(engine, fmt.Sprint("i-", i+1), []string{fmt.Sprint("waiting-", i)}, false)
			local.RecordServed(engine, []string{fmt.Sprint("served-", i)})
			time.Sleep(time.Millisecond)
		}
		for i := range 4 * maxServedParts {
			local.RecordServed(engine, []string{fmt.Sprint("more-", i)})
		}
		if count := len(local.suspects); count > maxSuspects {
			t.Errorf("%d suspects, expected at most %d", count, maxSuspects)
		}
		if count := local.served.len(); count > 2*maxServedParts {
			t.Errorf("%d answered parts, expected at most %d", count, 2*maxServedParts)
		}
		if count := len(local.Reports()); count > maxPartReports {
			t.Errorf("%d reports, expected at most %d", count, maxPartReports)
		}
		if !quarantined(local, "bad") {
			t.Error("suspects have displaced a quarantine")
		}
	})
}

// TestFewEntriesStoreAQuarantine guards against a write by each of many entries for one crash.
func TestFewEntriesStoreAQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries = 149
		local := newPartTracker()
		local.RecordCrash(engine, "i-1", []string{"bad"}, true)
		writes := 0
		for range entries {
			peer := newPartTracker()
			peer.Merge(local.Reports())
			time.Sleep(time.Millisecond)
			if len(peer.Unsaved(entries)) > 0 {
				writes++
			}
		}
		if writes > 0 {
			t.Errorf("%d entries store a quarantine that another one has just begun", writes)
		}
	})
}

// TestQuarantinesAfterTheStoreReturned guards against losing or reviving quarantines when the store returns from an older copy, in which their keys are missing or of
// an earlier state and revisions are lower.
func TestQuarantinesAfterTheStoreReturned(t *testing.T) {
	stored := func(era, revision uint64, level int, crashedAt time.Time) map[string]cranberryward.Quarantine {
		return map[string]cranberryward.Quarantine{"key": {
			PromptPart: cranberryward.PromptPart{
				Service: engine,
				ID:      "bad",
			},
			Level:     level,
			Until:     time.Now().Add(firstQuarantine),
			CrashedAt: crashedAt,
			Era:       era,
			Revision:  revision,
		}}
	}
	copied := cranberryward.Position{
		Era:      2,
		Revision: 20,
	}
	synctest.Test(t, func(t *testing.T) {
		partTracker := newPartTracker()
		crashedAt := time.Now()
		partTracker.MergeStored(stored(1, 30, 1, crashedAt), cranberryward.Position{
			Era:      1,
			Revision: 30,
		})
		partTracker.MergeStored(nil, copied)
		time.Sleep(time.Minute / 2)
		if !quarantined(partTracker, "bad") || len(partTracker.Unsaved(1)) != 1 {
			t.Error("a quarantine that the copy does not have is not stored again")
		}
		partTracker.MarkSaved(stored(2, 24, 1, crashedAt)["key"])
		time.Sleep(time.Second)
		partTracker.RecordServed(engine, []string{"bad"})
		partTracker.MergeStored(stored(3, 22, 1, crashedAt), cranberryward.Position{
			Era:      3,
			Revision: 22,
		})
		if quarantined(partTracker, "bad") {
			t.Error("a part that was answered since is quarantined again because of an older copy")
		}
		time.Sleep(time.Second)
		partTracker.MergeStored(stored(4, 21, 1, time.Now()), cranberryward.Position{
			Era:      4,
			Revision: 21,
		})
		if !quarantined(partTracker, "bad") {
			t.Error("a quarantine of the later era is ignored because its revision is lower")
		}
	})
}
