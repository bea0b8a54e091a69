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

func TestBeliefOfLowerRevisionIsDropped(t *testing.T) {
	calls := caller.NewClient("")
	t.Cleanup(calls.Close)
	changes := 0
	relayer, err := New(Options{
		Address: "127.0.0.1:0",
		Changed: func(_, _ *Belief) { changes++ },
		Logger:  log.NewNopLogger(),
	}, deadSource{}, calls)
	if err != nil {
		t.Fatal(err)
	}
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
