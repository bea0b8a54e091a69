package relayer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberryward/cranberryward"
)

// eraView returns a view of an era whose configuration, of the given version, was written at its revision.
func eraView(era, revision, version uint64) cranberryward.View {
	view := viewAt(revision)
	view.Era = era
	view.Deployment.Era, view.Deployment.Version = era, version
	return view
}

// TestSnapshotsOfTwoEras guards against ignoring the store's new history for its lower revisions, against going back to the history before, and against losing a
// configuration that was in force.
func TestSnapshotsOfTwoEras(t *testing.T) {
	for name, test := range map[string]struct {
		held, next       cranberryward.View
		era, at, version uint64
	}{
		"a later era with lower revisions":                        {eraView(1, 90, 7), eraView(2, 70, 8), 2, 70, 8},
		"a later era with an earlier configuration":               {eraView(1, 90, 7), eraView(2, 70, 6), 2, 70, 7},
		"an earlier era of a peer that was cut off":               {eraView(2, 70, 7), eraView(1, 90, 6), 2, 70, 7},
		"a peer of an earlier era holds the later configuration":  {eraView(2, 70, 6), eraView(1, 90, 7), 2, 70, 7},
		"an earlier revision of the same era":                     {eraView(2, 70, 7), eraView(2, 69, 6), 2, 70, 7},
		"the lost configuration is written again":                 {eraView(1, 90, 7), eraView(2, 71, 7), 2, 71, 7},
		"a revision that is given out again with another version": {eraView(1, 90, 7), eraView(2, 90, 8), 2, 90, 8},
	} {
		t.Run(name, func(t *testing.T) {
			relayer := newTestRelayer(t, nil)
			relayer.adopt(newSnapshot(test.held), time.Now(), "store")
			relayer.adopt(newSnapshot(test.next), time.Now(), "peer")
			snapshot, _ := relayer.Snapshot()
			if snapshot.Era != test.era || snapshot.At != test.at || snapshot.version() != test.version {
				t.Errorf("era %d, revision %d, version %d, expected %d, %d, %d", snapshot.Era, snapshot.At, snapshot.version(), test.era, test.at, test.version)
			}
		})
	}
}

// TestEqualRevisionsOfTwoErasAreFetchedWhole guards against a peer that leaves out the configuration because its revision, given out again, is the requester's.
func TestEqualRevisionsOfTwoErasAreFetchedWhole(t *testing.T) {
	requester, peer := newTestRelayer(t, nil), newTestRelayer(t, nil)
	requester.adopt(newSnapshot(eraView(1, 90, 7)), time.Now(), "store")
	peer.adopt(newSnapshot(eraView(2, 90, 8)), time.Now(), "store")
	before, _ := requester.Snapshot()
	other, _ := peer.Snapshot()
	if before.Content == other.Content {
		t.Error("snapshots of two eras have the same digest")
	}
	var reply FetchReply
	request := FetchRequest{
		Deployment:    before.Deployment.Revision,
		DeploymentEra: before.Deployment.Era,
		Content:       before.Content,
	}
	if err := peer.Fetch(request, &reply); err != nil {
		t.Fatal(err)
	}
	if reply.SameDeployment {
		t.Error("the peer left out a configuration of another era")
	}
}

// outdatedSource answers every read with an earlier view than the current one.
type outdatedSource struct{ reads int }

func (outdatedSource *outdatedSource) ReadView(context.Context) (cranberryward.View, error) {
	outdatedSource.reads++
	return eraView(2, 60, 5), nil
}

func (outdatedSource *outdatedSource) UpdateView(context.Context, cranberryward.View) (cranberryward.View, error) {
	outdatedSource.reads++
	return eraView(2, 60, 5), nil
}

// TestOutdatedReadsPause guards against reading the store again without a pause because its answers are not adopted.
func TestOutdatedReadsPause(t *testing.T) {
	relayer := newTestRelayer(t, nil)
	source := &outdatedSource{}
	relayer.source = source
	synctest.Test(t, func(t *testing.T) {
		relayer.adopt(newSnapshot(eraView(2, 70, 7)), time.Now().Add(-time.Hour), "peer")
		ctx, cancel := context.WithCancel(t.Context())
		go relayer.refresh(ctx)
		time.Sleep(10 * time.Second)
		cancel()
		synctest.Wait()
	})
	if most := int(10 * time.Second / minRetryPause); source.reads == 0 || source.reads > most {
		t.Errorf("%d reads in ten seconds, expected 1 to %d", source.reads, most)
	}
}
