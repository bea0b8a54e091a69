package relayer

import (
	"fmt"
	"testing"

	"github.com/cranberryward/cranberryward"
)

// TestSpreadReachesEntries answers the pattern "a controller on a thin link tells 149 entries in five availability zones the loads ten times a second": it
// sends ten notices itself, each entry forwards four, and nearly all entries get each notice.
func TestSpreadReachesEntries(t *testing.T) {
	const (
		zones, entriesPerZone = 5, 30
		rounds                = 200
		// leastReached is the share of the entries that each notice reaches on average; the next one comes within 100 ms.
		leastReached = 0.95
	)
	reached := 0
	for range rounds {
		for range zones {
			entries := make([]string, entriesPerZone)
			for i := range entries {
				entries[i] = fmt.Sprint(i)
			}
			received := map[string]bool{}
			pending := append([]string(nil), choose(entries, spreadPerZone)...)
			for len(pending) > 0 {
				entry := pending[0]
				pending = pending[1:]
				if received[entry] {
					continue
				}
				received[entry] = true
				pending = append(pending, choose(entries, forwardFanout)...)
			}
			reached += len(received)
		}
	}
	if share := float64(reached) / (rounds * zones * entriesPerZone); share < leastReached {
		t.Errorf("%.3f of the entries are reached, expected %.3f", share, leastReached)
	}
}

// TestSequences checks that a notice is handled once and that an older one is ignored, also after a restart of its sender.
func TestSequences(t *testing.T) {
	var sequences sequences
	spread := func(sender string, life, sequence uint64) Spread {
		return Spread{
			Sender:   sender,
			Life:     life,
			Sequence: sequence,
		}
	}
	for _, test := range []struct {
		name   string
		spread Spread
		isNew  bool
	}{
		{"the first", spread("a", 1, 5), true},
		{"the same again", spread("a", 1, 5), false},
		{"an older one", spread("a", 1, 4), false},
		{"a newer one", spread("a", 1, 6), true},
		{"another sender", spread("b", 1, 1), true},
		{"the sender restarted", spread("a", 2, 1), true},
	} {
		if isNew := sequences.isNew(test.spread); isNew != test.isNew {
			t.Errorf("%s: new is %v, expected %v", test.name, isNew, test.isNew)
		}
	}
}

// TestGroupNews guards against forwarding the same change of a group once for each of its 192 ranks.
func TestGroupNews(t *testing.T) {
	var news groupNews
	state := func(epoch uint64, open bool) cranberryward.GroupState {
		return cranberryward.GroupState{
			Service: "model",
			Name:    "g0",
			Epoch:   epoch,
			Open:    open,
		}
	}
	for _, test := range []struct {
		name  string
		state cranberryward.GroupState
		isNew bool
	}{
		{"open", state(1, true), true},
		{"open, from another rank", state(1, true), false},
		{"broken", state(1, false), true},
		{"broken, from another rank", state(1, false), false},
		{"open, from a rank that does not know yet", state(1, true), false},
		{"reopened", state(2, true), true},
		{"broken, late", state(1, false), false},
	} {
		if isNew := news.isNew(test.state); isNew != test.isNew {
			t.Errorf("%s: new is %v, expected %v", test.name, isNew, test.isNew)
		}
	}
}
