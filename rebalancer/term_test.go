package rebalancer

import (
	"testing"

	"github.com/cranberryward/cranberryward"
	"github.com/go-kit/log"
)

// TestTermsOfALaterEraAreHigher guards against a controller that all agents refuse because the store gives out lower revisions after it returned from an older copy.
func TestTermsOfALaterEraAreHigher(t *testing.T) {
	before := Term(cranberryward.Position{
		Era:      1,
		Revision: 1 << 32,
	})
	after := Term(cranberryward.Position{
		Era:      2,
		Revision: 5,
	})
	if after <= before {
		t.Errorf("term %d after the return, %d before", after, before)
	}
}

// TestVersionsExceedThoseOfAnEarlierEra guards against map versions that ranks refuse, as they have had higher ones.
func TestVersionsExceedThoseOfAnEarlierEra(t *testing.T) {
	earlier := New(nil, Term(cranberryward.Position{
		Era:      1,
		Revision: 90,
	}), log.NewNopLogger())
	later := New(nil, Term(cranberryward.Position{
		Era:      2,
		Revision: 70,
	}), log.NewNopLogger())
	shown := earlier.nextVersion()
	hidden := earlier.nextVersion()
	for name, report := range map[string]cranberryward.RankReport{
		"in force": {Map: shown},
		"prepared": {Prepared: shown},
		"armed":    {Armed: shown},
	} {
		t.Run(name, func(t *testing.T) {
			later.firstVersion = 0
			later.ranks = []rank{{}, {
				observation: Observation{
					Report: report,
				},
			}}
			if version := later.nextVersion(); version <= hidden {
				t.Errorf("version %d, expected one above %d", version, hidden)
			}
		})
	}
	later.ranks, later.firstVersion = []rank{{}}, 0
	refused := 0
	for ; later.nextVersion() <= hidden; refused++ {
		later.skipVersions()
	}
	if refused != 1 {
		t.Errorf("%d versions are refused by ranks that no longer show those that they have had, expected 1", refused)
	}
}
