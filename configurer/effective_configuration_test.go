package configurer

import (
	"testing"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/google/go-cmp/cmp"
)

// TestAllowedVersions guards against refusing every request of a group without a list of versions once one version is forbidden.
func TestAllowedVersions(t *testing.T) {
	const group = "calls"
	listed := []string{"v2", "v1"}
	forbid := func(version string) cranberryward.Correction {
		return cranberryward.Correction{
			Kind:  cranberryward.CorrectForbidVersion,
			Name:  group,
			Value: version,
		}
	}
	pin := func(version string) cranberryward.Correction {
		correction := forbid(version)
		correction.Kind = cranberryward.CorrectPinVersion
		return correction
	}
	for _, test := range []struct {
		name        string
		listed      []string
		corrections []cranberryward.Correction
		loaded      []string
		allowed     []string
		restricted  bool
	}{
		{
			name:    "no list, nothing forbidden",
			loaded:  []string{"v1"},
			allowed: []string{"v1"},
		},
		{
			name:        "no list, one of two loaded versions forbidden",
			corrections: []cranberryward.Correction{forbid("v1")},
			loaded:      []string{"v1", "v2"},
			allowed:     []string{"v2"},
			restricted:  true,
		},
		{
			name:        "no list, the only loaded version forbidden",
			corrections: []cranberryward.Correction{forbid("v1")},
			loaded:      []string{"v1"},
			restricted:  true,
		},
		{
			name:        "a list, its first version forbidden",
			listed:      listed,
			corrections: []cranberryward.Correction{forbid("v2")},
			loaded:      []string{"v1", "v2"},
			allowed:     []string{"v1"},
			restricted:  true,
		},
		{
			name:       "a list, its first version not loaded",
			listed:     listed,
			loaded:     []string{"v1", "v3"},
			allowed:    []string{"v1"},
			restricted: true,
		},
		{
			name:        "a forbidden version pinned later",
			corrections: []cranberryward.Correction{forbid("v1"), pin("v1")},
			loaded:      []string{"v1", "v2"},
			allowed:     []string{"v1"},
			restricted:  true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			configuration := cranberryward.Configuration{Corrections: test.corrections}
			if test.listed != nil {
				configuration.Sheet.ModelVersions = []cranberryward.ModelVersions{{
					Group:    group,
					Versions: test.listed,
				}}
			}
			allowed, restricted := NewEffectiveConfiguration(configuration, time.Unix(1, 0)).AllowedVersions(group, test.loaded)
			if restricted != test.restricted {
				t.Errorf("restricted is %v, expected %v", restricted, test.restricted)
			}
			if difference := cmp.Diff(test.allowed, allowed); difference != "" {
				t.Errorf("allowed versions (-expected +found):\n%s", difference)
			}
		})
	}
}
