package cranberryward

import "testing"

// written returns a configuration of a version at a position of the store.
func written(era, revision, version uint64) *Deployment {
	return &Deployment{
		Era:      era,
		Revision: revision,
		Version:  version,
	}
}

// TestSupersedes guards against going back to an earlier configuration when the store returns from an older copy, and against ignoring what is written after that.
func TestSupersedes(t *testing.T) {
	held := written(1, 90, 7)
	for name, test := range map[string]struct {
		next     *Deployment
		other    *Deployment
		expected bool
	}{
		"no configuration":                              {nil, held, false},
		"the first one":                                 {held, nil, true},
		"a later revision":                              {written(1, 91, 8), held, true},
		"a later revision of a lower version":           {written(1, 91, 6), held, true},
		"an earlier revision":                           {written(1, 89, 6), held, false},
		"the same":                                      {held, held, false},
		"an earlier version in a copy":                  {written(2, 70, 6), held, false},
		"the same version written again":                {written(2, 72, 7), held, true},
		"a later version at a revision given out again": {written(2, 90, 8), held, true},
		"the same version of the earlier era":           {held, written(2, 72, 7), false},
	} {
		t.Run(name, func(t *testing.T) {
			if supersedes := test.next.Supersedes(test.other); supersedes != test.expected {
				t.Errorf("supersedes is %t, expected %t", supersedes, test.expected)
			}
		})
	}
}
