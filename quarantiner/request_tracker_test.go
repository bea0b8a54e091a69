package quarantiner

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberryward/cranberryward"
)

// request returns the part that stands for a whole request of the engine.
func request(fingerprint string) cranberryward.PromptPart {
	return cranberryward.WholeRequest(engine, fingerprint)
}

// requestState is how far a request is kept away from backend servers.
type requestState int

const (
	sound requestState = iota
	notRetried
	blocked
)

func stateOf(requestTracker *RequestTracker, fingerprint string) requestState {
	switch {
	case requestTracker.Check(engine, []string{request(fingerprint).ID}).Blocked():
		return blocked
	case !requestTracker.MayRetry(request(fingerprint)):
		return notRetried
	default:
		return sound
	}
}

func (requestTracker *RequestTracker) serve(fingerprint string) {
	requestTracker.RecordServed(engine, []string{request(fingerprint).ID})
}

// breakSend records that a request which was sent a moment ago broke off, later than any before.
func breakSend(requestTracker *RequestTracker, fingerprint, server string, crashed bool) {
	sentAt := time.Now()
	time.Sleep(time.Millisecond)
	requestTracker.RecordBreak(request(fingerprint), server, sentAt, crashed)
}

func reportTo(to, from *RequestTracker) { to.Merge(from.Reports()) }

// TestRequestTracker guards against retrying or sending a request that crashed backend servers, and against suspecting other requests, when two processes see
// crashes and report them to each other.
func TestRequestTracker(t *testing.T) {
	for name, test := range map[string]struct {
		events   func(local, peer *RequestTracker)
		expected requestState
	}{
		"no crash":        {func(local, peer *RequestTracker) {}, sound},
		"one broken send": {func(local, peer *RequestTracker) { breakSend(local, "a", "s1", false) }, sound},
		"two broken sends": {func(local, peer *RequestTracker) {
			breakSend(local, "a", "s1", false)
			breakSend(local, "a", "s2", false)
		}, notRetried},
		"many broken sends at backend servers that run on": {func(local, peer *RequestTracker) {
			for i := range 20 {
				breakSend(local, "a", fmt.Sprint("s", i), false)
			}
		}, notRetried},
		"one broken send each of two requests": {func(local, peer *RequestTracker) {
			breakSend(local, "a", "s1", false)
			breakSend(local, "b", "s2", false)
		}, sound},
		"one broken send here and one at a peer": {func(local, peer *RequestTracker) {
			breakSend(peer, "a", "s1", false)
			reportTo(local, peer)
			breakSend(local, "a", "s2", false)
		}, notRetried},
		"one broken send that a peer reports twice": {func(local, peer *RequestTracker) {
			breakSend(peer, "a", "s1", false)
			reportTo(local, peer)
			reportTo(local, peer)
		}, sound},
		"one crash": {func(local, peer *RequestTracker) { breakSend(local, "a", "s1", true) }, sound},
		"two crashes": {func(local, peer *RequestTracker) {
			breakSend(local, "a", "s1", true)
			breakSend(local, "a", "s2", true)
		}, blocked},
		"a broken send that turns out to be a crash, twice": {func(local, peer *RequestTracker) {
			for _, server := range []string{"s1", "s2"} {
				sentAt := time.Now()
				time.Sleep(time.Millisecond)
				local.RecordBreak(request("a"), server, sentAt, false)
				time.Sleep(time.Millisecond)
				local.RecordBreak(request("a"), server, sentAt, true)
			}
		}, blocked},
		"two broken sends at one backend server": {func(local, peer *RequestTracker) {
			breakSend(local, "a", "s1", false)
			breakSend(local, "a", "s1", false)
		}, notRetried},
		"two crashes of one backend server that restarts soon, one seen by a peer": {func(local, peer *RequestTracker) {
			breakSend(peer, "a", "s1", true)
			reportTo(local, peer)
			time.Sleep(300 * time.Millisecond)
			breakSend(local, "a", "s1", true)
		}, blocked},
		"one crash that two processes see": {func(local, peer *RequestTracker) {
			sentAt := time.Now()
			time.Sleep(time.Second)
			local.RecordBreak(request("a"), "s1", sentAt, true)
			peer.RecordBreak(request("a"), "s1", sentAt.Add(time.Second/2), true)
			time.Sleep(time.Second / 20)
			reportTo(local, peer)
		}, sound},
		"crashes here, at a peer that restarts, and at it again": {func(local, peer *RequestTracker) {
			breakSend(peer, "a", "s1", true)
			reportTo(local, peer)
			var restarted RequestTracker
			breakSend(&restarted, "a", "s2", true)
			reportTo(local, &restarted)
		}, blocked},
		"a crash that a peer reports again after it was cut off": {func(local, peer *RequestTracker) {
			breakSend(peer, "a", "s1", true)
			time.Sleep(20 * repeatInterval)
			reportTo(local, peer)
			breakSend(local, "a", "s2", true)
		}, blocked},
		"two crashes after an answer": {func(local, peer *RequestTracker) {
			local.serve("a")
			time.Sleep(time.Second)
			breakSend(local, "a", "s1", true)
			breakSend(local, "a", "s2", true)
		}, notRetried},
		"three crashes after an answer": {func(local, peer *RequestTracker) {
			local.serve("a")
			time.Sleep(time.Second)
			for _, server := range []string{"s1", "s2", "s3"} {
				breakSend(local, "a", server, true)
			}
		}, blocked},
		"answered between two crashes": {func(local, peer *RequestTracker) {
			breakSend(local, "a", "s1", true)
			time.Sleep(time.Second)
			local.serve("a")
			time.Sleep(time.Second)
			breakSend(local, "a", "s2", true)
		}, sound},
		"answered at a peer after two crashes": {func(local, peer *RequestTracker) {
			breakSend(local, "a", "s1", true)
			breakSend(local, "a", "s2", true)
			reportTo(peer, local)
			time.Sleep(time.Second)
			peer.serve("a")
			reportTo(local, peer)
		}, sound},
		"two broken sends that have expired": {func(local, peer *RequestTracker) {
			breakSend(local, "a", "s1", false)
			breakSend(local, "a", "s2", false)
			time.Sleep(requestSuspectTTL + time.Second)
		}, sound},
		"two broken sends, the first of which has expired": {func(local, peer *RequestTracker) {
			breakSend(local, "a", "s1", false)
			time.Sleep(requestSuspectTTL + time.Second)
			breakSend(local, "a", "s2", false)
		}, sound},
		"a peer's broken send that is too old to be reported": {func(local, peer *RequestTracker) {
			breakSend(peer, "a", "s1", false)
			time.Sleep(recentWindow + time.Second)
			reportTo(local, peer)
			breakSend(local, "a", "s2", false)
		}, sound},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var local, peer RequestTracker
				test.events(&local, &peer)
				if state := stateOf(&local, "a"); state != test.expected {
					t.Errorf("state %d, expected %d", state, test.expected)
				}
			})
		})
	}
}

// TestSuspicionOutlivesAllProcesses guards against forgetting a first crash when all entries end at once: the second one must lead to a quarantine, whatever the
// clock of the process that stored the first.
func TestSuspicionOutlivesAllProcesses(t *testing.T) {
	for name, clockError := range map[string]time.Duration{
		"equal clocks":       0,
		"a clock that lags":  -3 * time.Second,
		"a clock that leads": 3 * time.Second,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var before, after RequestTracker
				breakSend(&before, "a", "s1", true)
				time.Sleep(contestTime + time.Millisecond)
				unsaved := before.Unsaved(3)
				if len(unsaved) != 1 || !unsaved[0].Suspicion() {
					t.Fatalf("to be stored after one crash: %+v, expected one suspicion", unsaved)
				}
				stored := unsaved[0]
				stored.Revision = 7
				stored.CrashedAt = stored.CrashedAt.Add(clockError)
				before.MergeStored(map[string]cranberryward.Quarantine{"key": stored}, cranberryward.Position{Revision: 7})
				if again := before.Unsaved(3); len(again) != 0 {
					t.Errorf("stored again: %+v", again)
				}
				if state := stateOf(&before, "a"); state != sound {
					t.Errorf("state %d of a request with one crash, which the store repeats", state)
				}
				time.Sleep(10 * time.Second)
				after.MergeStored(map[string]cranberryward.Quarantine{"key": stored}, cranberryward.Position{Revision: 7})
				breakSend(&after, "a", "s1", true)
				if state := stateOf(&after, "a"); state != blocked {
					t.Errorf("state %d after a second crash, expected %d", state, blocked)
				}
			})
		})
	}
}

// TestQuarantineOfAnsweredRequestIsShort guards against refusing for long what many callers send, after a service has failed as a whole.
func TestQuarantineOfAnsweredRequestIsShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var requestTracker RequestTracker
		requestTracker.serve("a")
		time.Sleep(time.Second)
		for _, server := range []string{"s1", "s2", "s3"} {
			breakSend(&requestTracker, "a", server, true)
		}
		time.Sleep(servedRequestQuarantine)
		if verdict := requestTracker.Check(engine, []string{request("a").ID}); !verdict.ProbeDue() {
			t.Errorf("no probe is due %s after the quarantine began", servedRequestQuarantine)
		}
		next, _ := requestTracker.Probe(request("a"))
		if length := time.Until(next.Until); length != servedRequestFactor*servedRequestQuarantine {
			t.Errorf("the next quarantine lasts %s", length)
		}
	})
}

func TestSuspectRequestsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var requestTracker RequestTracker
		for _, server := range []string{"s1", "s2"} {
			breakSend(&requestTracker, "crashing", server, true)
		}
		breakSend(&requestTracker, "one crash", "s1", true)
		for i := range 16 * maxSuspects {
			breakSend(&requestTracker, fmt.Sprint(i), "s1", false)
			breakSend(&requestTracker, fmt.Sprint(i), "s2", false)
			time.Sleep(time.Millisecond)
		}
		if count := len(requestTracker.suspects); count > maxSuspects {
			t.Errorf("%d requests are suspect, expected at most %d", count, maxSuspects)
		}
		if state := stateOf(&requestTracker, fmt.Sprint(16*maxSuspects-1)); state != notRetried {
			t.Errorf("state %d of the last request, expected %d", state, notRetried)
		}
		if state := stateOf(&requestTracker, "crashing"); state != blocked {
			t.Errorf("state %d of the request that crashed backend servers, expected %d", state, blocked)
		}
		breakSend(&requestTracker, "one crash", "s2", true)
		if state := stateOf(&requestTracker, "one crash"); state != blocked {
			t.Errorf("state %d of a request with a crash before and one after the others, expected %d", state, blocked)
		}
		if count := len(requestTracker.Reports()); count > maxPartReports {
			t.Errorf("%d requests are reported, expected at most %d", count, maxPartReports)
		}
	})
}

// TestAnswersAtPeersMakeNoSuspects guards against records of requests that never crashed anything here, which would evict those of crashes.
func TestAnswersAtPeersMakeNoSuspects(t *testing.T) {
	var requestTracker RequestTracker
	requestTracker.Merge([]cranberryward.PartReport{{
		PromptPart:  request("a"),
		ServedAgeMS: 1,
	}})
	if !requestTracker.Empty() {
		t.Error("a peer's report that a request was answered made a suspect")
	}
}
