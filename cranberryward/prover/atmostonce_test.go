package prover

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/standin/faulter"
	"github.com/cranberryward/cranberryward/standin/keyvalueserver"
	"github.com/cranberryward/cranberryward/standin/listserver"
	"github.com/cranberryward/cranberryward/standin/serviceserver"
)

var shortHomes = []string{"--home-lifetime", "1500ms", "--list-lag", "300ms", "--clock-error", "100ms"}

// attempts are the answers to one key, sent several times.
type attempts struct {
	key     string
	body    string
	answers []answer
}

func (fleet *fleet) newAttempts(count int, timed bool) []*attempts {
	made := make([]*attempts, count)
	for i := range made {
		made[i] = &attempts{
			key:  newKey(),
			body: fmt.Sprintf("%s booking %d", fleet.t.Name(), i),
		}
		if !timed {
			made[i].key = "booking " + strings.ToLower(made[i].key)
		}
	}
	return made
}

// sendAll sends every key once through entries picked in turn and keeps the answers.
func (fleet *fleet) sendAll(all []*attempts, shift int, deadline string) {
	var group sync.WaitGroup
	for i, sent := range all {
		entry := fleet.entries[(i+shift)%len(fleet.entries)]
		group.Go(func() { sent.answers = append(sent.answers, fleet.bookWithin(entry, sent.key, sent.body, deadline)) })
	}
	group.Wait()
}

// checkOnce fails the test when a key ran twice, when an answer differs from another one or tells an untruth, and returns how many were served.
func (fleet *fleet) checkOnce(all []*attempts) (served int) {
	fleet.t.Helper()
	runs := fleet.bookings()
	for _, sent := range all {
		if runs[sent.key] > 1 {
			fleet.t.Errorf("key %s ran %d times", sent.key, runs[sent.key])
		}
		first, refusedOnly := "", true
		for _, received := range sent.answers {
			if received.whole && first == "" {
				first = received.text
			}
			if received.whole && received.text != first {
				fleet.t.Errorf("key %s has two answers: %q and %q", sent.key, first, received.text)
			}
			refusedOnly = refusedOnly && !received.whole && received.err == nil && received.verdict() == cranberryward.NotRun
		}
		if first != "" {
			served++
		}
		if first != "" && runs[sent.key] != 1 {
			fleet.t.Errorf("key %s was answered and ran %d times", sent.key, runs[sent.key])
		}
		if refusedOnly && runs[sent.key] != 0 {
			fleet.t.Errorf("key %s was only refused as not run and ran", sent.key)
		}
	}
	return served
}

func (fleet *fleet) unlist(member *member) {
	request, err := http.NewRequest(http.MethodDelete, "http://"+fleet.list+"/v1/instances/"+member.id, nil)
	if err != nil {
		fleet.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		fleet.t.Fatal(err)
	}
	_ = response.Body.Close()
}

func TestBookingRunsAtMostOnce(t *testing.T) {
	fleet := newFleet(t, fleetOptions{
		zones:          3,
		entriesPerZone: 1,
		agentFlags:     shortHomes,
	})
	const keys = 24
	home := fleet.services[0]
	cases := []struct {
		name      string
		fault     func()
		heal      func()
		timed     bool
		allServed bool
	}{
		{
			name:      "the same key at the same time through all entries",
			timed:     true,
			allServed: true,
		},
		{
			name:      "keys without a time",
			allServed: true,
		},
		{
			name:  "answers of the service lost",
			timed: true,
			fault: func() {
				for _, service := range fleet.services {
					fleet.setFaults(service.backend, serviceserver.Faults{LoseAnswers: 3})
				}
			},
		},
		{
			name:      "answers of agents lost",
			timed:     true,
			allServed: true,
			fault: func() {
				for _, service := range fleet.services {
					service.requests.CutAfter(600)
				}
			},
		},
		{
			name:  "a service killed and back",
			timed: true,
			fault: func() {
				fleet.setFaults(home.backend, serviceserver.Faults{Down: true})
			},
			heal: func() { fleet.setFaults(home.backend, serviceserver.Faults{}) },
		},
		{
			name:      "the key-value service out, keys with a time",
			timed:     true,
			allServed: true,
			fault: func() {
				fleet.setFaults(fleet.keyValue, keyvalueserver.Faults{Outage: true})
				pause(2 * time.Second)
			},
			heal: func() { fleet.setFaults(fleet.keyValue, keyvalueserver.Faults{}) },
		},
		{
			name: "the key-value service out, keys without a time",
			fault: func() {
				fleet.setFaults(fleet.keyValue, keyvalueserver.Faults{Outage: true})
			},
			heal: func() { fleet.setFaults(fleet.keyValue, keyvalueserver.Faults{}) },
		},
		{
			name:      "claims applied and their answers lost",
			allServed: true,
			fault: func() {
				fleet.setFaults(fleet.keyValue, keyvalueserver.Faults{
					LoseAnswers: 6,
					LosePrefix:  "claims/",
				})
			},
			heal: func() { fleet.setFaults(fleet.keyValue, keyvalueserver.Faults{}) },
		},
		{
			name:  "the instance list and the key-value service out",
			timed: true,
			fault: func() {
				fleet.setFaults(fleet.keyValue, keyvalueserver.Faults{Outage: true})
				fleet.setFaults(fleet.list, listserver.Faults{Outage: true})
			},
			heal: func() {
				fleet.setFaults(fleet.keyValue, keyvalueserver.Faults{})
				fleet.setFaults(fleet.list, listserver.Faults{})
			},
		},
		{
			name:  "a zone cut off from the others and the platform",
			timed: true,
			fault: func() {
				for _, member := range fleet.members() {
					if member.zone == "zone-b" {
						member.cutPlatform(faulter.Cutoff)
						member.cutPeers(faulter.Cutoff)
					}
				}
				pause(2 * time.Second)
			},
			heal: func() {
				for _, member := range fleet.members() {
					member.cutPlatform(faulter.Pass)
					member.cutPeers(faulter.Pass)
				}
			},
		},
		{
			name:  "an entry killed",
			timed: true,
			fault: func() { fleet.entries[2].kill() },
			heal: func() {
				fleet.entries[2].start()
				fleet.awaitEntry(fleet.entries[2])
			},
		},
		{
			name:  "a home killed and started again",
			timed: true,
			fault: func() {
				home.kill()
				home.start()
			},
		},
		{
			name:  "a home killed and taken off the list",
			timed: true,
			fault: func() {
				home.kill()
				fleet.unlist(home)
			},
			heal: home.start,
		},
		{
			name:  "a home frozen, taken off the list and awake again",
			timed: true,
			fault: func() {
				home.freeze()
				fleet.unlist(home)
				pause(4 * time.Second)
				home.thaw()
			},
			heal: func() {
				home.kill()
				home.start()
			},
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			fleet.t = t
			fleet.awaitBooking()
			before := fleet.newAttempts(keys, test.timed)
			var group sync.WaitGroup
			if test.fault != nil {
				fleet.sendAll(before[:keys/2], 0, "5s")
				group.Go(func() { fleet.sendAll(before[keys/2:], 1, "5s") })
				test.fault()
			}
			group.Wait()
			during := fleet.newAttempts(keys, test.timed)
			for shift := range len(fleet.entries) {
				fleet.sendAll(before, shift, "2s")
				fleet.sendAll(during, shift, "2s")
			}
			servedBefore, servedDuring := fleet.checkOnce(before), fleet.checkOnce(during)
			if test.heal != nil {
				test.heal()
			}
			fleet.sendAll(before, 1, "8s")
			fleet.sendAll(during, 1, "8s")
			all := append(before, during...)
			served := fleet.checkOnce(all)
			t.Logf("served during the fault: %d of %d keys made before it and %d of %d made in it; after it %d of %d",
				servedBefore, keys, servedDuring, keys, served, len(all))
			if test.allServed && served != len(all) {
				t.Errorf("%d of %d bookings served", served, len(all))
				for _, sent := range all {
					last := sent.answers[len(sent.answers)-1]
					if !last.whole {
						t.Logf("key %s: %+v", sent.key, last)
					}
				}
			}
		})
	}
	fleet.t = t
}

func TestSameKeyAtOnceThroughEveryEntry(t *testing.T) {
	fleet := newFleet(t, fleetOptions{
		zones:          2,
		entriesPerZone: 2,
	})
	for round := range 10 {
		sent := &attempts{
			key:  newKey(),
			body: fmt.Sprintf("round %d", round),
		}
		answers := make([]answer, 4*len(fleet.entries))
		var group sync.WaitGroup
		for i := range answers {
			group.Go(func() { answers[i] = fleet.book(fleet.entries[i%len(fleet.entries)], sent.key, sent.body) })
		}
		group.Wait()
		sent.answers = answers
		if fleet.checkOnce([]*attempts{sent}) != 1 {
			t.Errorf("round %d was not served: %+v", round, answers)
		}
		other := fleet.book(fleet.entries[0], sent.key, "another body")
		if other.status != http.StatusUnprocessableEntity || other.verdict() != cranberryward.NotRun {
			t.Errorf("a different body under a used key: %+v", other)
		}
	}
}
