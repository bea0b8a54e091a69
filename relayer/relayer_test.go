package relayer

import (
	"context"
	"testing"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/caller"
	"github.com/go-kit/log"
	"github.com/rotisserie/eris"
)

// deadSource is a store that answers nothing.
type deadSource struct{}

func (deadSource) ReadView(context.Context) (cranberryward.View, error) {
	return cranberryward.View{}, eris.New("out of reach")
}

func (deadSource) UpdateView(context.Context, cranberryward.View) (cranberryward.View, error) {
	return cranberryward.View{}, eris.New("out of reach")
}

func viewAt(revision uint64) cranberryward.View {
	return cranberryward.View{
		At: revision,
		Deployment: &cranberryward.Deployment{
			Version:  revision,
			Revision: revision,
		},
	}
}

// newTestRelayer returns a relayer without peers and with a store that answers nothing.
func newTestRelayer(t *testing.T, changed func(before, now *Belief)) *Relayer {
	t.Helper()
	calls := caller.NewClient("")
	t.Cleanup(calls.Close)
	relayer, err := New(Options{
		Address: "127.0.0.1:0",
		Changed: changed,
		Logger:  log.NewNopLogger(),
	}, deadSource{}, calls)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = relayer.socket.Close() })
	return relayer
}

func TestBeliefOfLowerRevisionIsDropped(t *testing.T) {
	changes := 0
	relayer := newTestRelayer(t, func(_, _ *Belief) { changes++ })
	now := time.Now()
	relayer.adopt(newBelief(viewAt(9)), now, "store")
	relayer.adopt(newBelief(viewAt(8)), now.Add(time.Second), "peer")
	if belief, _ := relayer.Belief(); belief.At != 9 || changes != 1 {
		t.Errorf("belief at %d after %d changes, expected 9 after 1", belief.At, changes)
	}
	if relayer.readAt != now {
		t.Error("a dropped belief made the present one look younger")
	}
}

// TestFetchLeavesOutTheConfigurationThatTheAskerHas asks a process with a newer list of backend servers.
func TestFetchLeavesOutTheConfigurationThatTheAskerHas(t *testing.T) {
	relayer := newTestRelayer(t, nil)
	view := viewAt(9)
	view.Servers = map[string]cranberryward.BackendServer{"i-1": {ID: "i-1"}}
	relayer.adopt(newBelief(view), time.Now(), "store")
	for _, test := range []struct {
		name string
		has  uint64
		same bool
	}{
		{
			name: "nothing",
			has:  0,
		},
		{
			name: "an older one",
			has:  8,
		},
		{
			name: "the same",
			has:  9,
			same: true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			var reply FetchReply
			if err := relayer.Fetch(FetchRequest{Deployment: test.has}, &reply); err != nil {
				t.Fatal(err)
			}
			if reply.SameDeployment != test.same || (reply.Belief.Deployment == nil) != test.same || len(reply.Belief.Servers) != 1 {
				t.Errorf("same %v, configuration %v, %d backend servers", reply.SameDeployment, reply.Belief.Deployment, len(reply.Belief.Servers))
			}
		})
	}
	if belief, _ := relayer.Belief(); belief.Deployment == nil {
		t.Error("the process forgot its own configuration")
	}
}
