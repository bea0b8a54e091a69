package leaser

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/go-kit/log"
)

// grantingStore grants every lease; the methods that are not implemented here are not called.
type grantingStore struct{ cranberryward.KeyValueStore }

func (grantingStore) Get(context.Context, string) (cranberryward.Record, error) {
	return cranberryward.Record{}, nil
}

func (grantingStore) GrantLease(context.Context, time.Duration) (cranberryward.LeaseID, error) {
	return "lease", nil
}

func (grantingStore) CompareAndSwap(context.Context, string, []byte, uint64, cranberryward.LeaseID) (cranberryward.Record, error) {
	return cranberryward.Record{Revision: 7}, nil
}

func (grantingStore) RevokeLease(context.Context, cranberryward.LeaseID) error { return nil }

// TestReleaseReturnsToTheFirstState guards against a released lease whose chart still says that it is held, so that it could not be acquired again.
func TestReleaseReturnsToTheFirstState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lease := New(grantingStore{}, "key", "holder", time.Second, log.NewNopLogger())
		first := lease.machine.State()
		for range 2 {
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				lease.Run(ctx)
			}()
			synctest.Wait()
			if fencing, held := lease.Held(); !held || fencing != 7 {
				t.Fatalf("held %v with fencing number %d", held, fencing)
			}
			cancel()
			<-ended
			if state := lease.machine.State(); state != first {
				t.Fatalf("state %s after the release, expected %s", state, first)
			}
		}
	})
}
