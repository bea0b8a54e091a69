package quarantiner

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestCrashCounter guards against retrying a suspect, and against suspecting other requests, when two processes see crashes and report them to
// each other.
func TestCrashCounter(t *testing.T) {
	for name, test := range map[string]struct {
		events  func(local, peer *CrashCounter)
		suspect bool
	}{
		"no crash":                       {func(local, peer *CrashCounter) {}, false},
		"one crash":                      {func(local, peer *CrashCounter) { local.Record("a") }, false},
		"two crashes":                    {func(local, peer *CrashCounter) { local.Record("a"); local.Record("a") }, true},
		"one crash each of two requests": {func(local, peer *CrashCounter) { local.Record("a"); local.Record("b") }, false},
		"one crash here and one at a peer": {func(local, peer *CrashCounter) {
			peer.Record("a")
			local.Merge("peer", peer.Recent())
			local.Record("a")
		}, true},
		"one crash that a peer reports twice": {func(local, peer *CrashCounter) {
			peer.Record("a")
			local.Merge("peer", peer.Recent())
			local.Merge("peer", peer.Recent())
		}, false},
		"answered between two crashes": {func(local, peer *CrashCounter) {
			local.Record("a")
			local.Clear("a")
			local.Record("a")
		}, false},
		"answered at a peer after two crashes": {func(local, peer *CrashCounter) {
			local.Record("a")
			local.Record("a")
			peer.Merge("local", local.Recent())
			peer.Clear("a")
			local.Merge("peer", peer.Recent())
		}, false},
		"two crashes that have expired": {func(local, peer *CrashCounter) {
			local.Record("a")
			local.Record("a")
			time.Sleep(recordTTL + time.Second)
		}, false},
		"two crashes, the first of which has expired": {func(local, peer *CrashCounter) {
			local.Record("a")
			time.Sleep(recordTTL + time.Second)
			local.Record("a")
		}, false},
		"a peer's crash that is too old to be reported": {func(local, peer *CrashCounter) {
			peer.Record("a")
			time.Sleep(recentWindow + time.Second)
			local.Merge("peer", peer.Recent())
			local.Record("a")
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var local, peer CrashCounter
				test.events(&local, &peer)
				if suspect := local.IsSuspect("a"); suspect != test.suspect {
					t.Errorf("suspect is %v, expected %v", suspect, test.suspect)
				}
			})
		})
	}
}

func TestCrashCounterBoundsItsRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var crashCounter CrashCounter
		for i := range 3 * maxRecords {
			crashCounter.Record(fmt.Sprint(i))
			crashCounter.Record(fmt.Sprint(i))
			time.Sleep(time.Millisecond)
		}
		if count := len(crashCounter.records); count > maxRecords {
			t.Errorf("%d requests have records, expected at most %d", count, maxRecords)
		}
		if !crashCounter.IsSuspect(fmt.Sprint(3*maxRecords - 1)) {
			t.Error("the last request has no record")
		}
		if count := len(crashCounter.Recent()); count > maxRecent {
			t.Errorf("%d requests are reported, expected at most %d", count, maxRecent)
		}
	})
}

// TestAnswersAtPeersMakeNoRecords guards against records of requests that never crashed anything here, which would evict those of crashes.
func TestAnswersAtPeersMakeNoRecords(t *testing.T) {
	var crashCounter CrashCounter
	crashCounter.Merge("peer", map[string]int{"a": 0})
	if !crashCounter.Empty() {
		t.Error("a peer's report that a request was answered made a record")
	}
}

// TestEvictionKeepsRecentRecords guards against dropping every record when all of them are equally old.
func TestEvictionKeepsRecentRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var crashCounter CrashCounter
		for i := range maxRecords + 1 {
			crashCounter.Record(fmt.Sprint(i))
		}
		if count := len(crashCounter.records); count < maxRecords/2 {
			t.Errorf("%d records of %d requests are left", count, maxRecords+1)
		}
	})
}
