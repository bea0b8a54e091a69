package pool

import (
	"fmt"
	"testing"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/router"
)

// TestSyncCountsDroppedServers guards against leaving out backend servers without a trace when there are more than a pool holds.
func TestSyncCountsDroppedServers(t *testing.T) {
	for _, test := range []struct {
		instances int
		dropped   int
	}{
		{instances: router.MaxServers},
		{
			instances: router.MaxServers + 3,
			dropped:   3,
		},
		{instances: 1},
	} {
		t.Run(fmt.Sprint(test.instances), func(t *testing.T) {
			pool := New(nil)
			var instances []cranberryward.Instance
			for i := range test.instances {
				instances = append(instances, cranberryward.Instance{ID: fmt.Sprint(i)})
			}
			pool.Sync(instances)
			if dropped := pool.Dropped(); dropped != test.dropped {
				t.Errorf("%d dropped, expected %d", dropped, test.dropped)
			}
			if held := pool.Len(); held+test.dropped != test.instances {
				t.Errorf("%d held of %d", held, test.instances)
			}
		})
	}
}
