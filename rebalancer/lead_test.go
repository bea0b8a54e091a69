package rebalancer

import (
	"testing"
	"time"
)

// TestLeadAfterSlowArming answers the pattern "one rank freezes for four seconds while a map is armed": all later changes were then armed twelve passes
// ahead, 0.7 s, for as long as a minute. If arming stays slow, the lead must follow within a few changes.
func TestLeadAfterSlowArming(t *testing.T) {
	const pass = 60 * time.Millisecond
	for _, test := range []struct {
		name     string
		took     []time.Duration
		expected uint64
	}{
		{
			name:     "fast arming",
			took:     []time.Duration{20 * time.Millisecond},
			expected: initialLead,
		},
		{
			name:     "one slow arming",
			took:     []time.Duration{4 * time.Second},
			expected: initialLead + maxLeadStep,
		},
		{
			name:     "slow arming again and again",
			took:     []time.Duration{4 * time.Second, 4 * time.Second, 4 * time.Second, 4 * time.Second, 4 * time.Second},
			expected: maxLead,
		},
		{
			name:     "arming that takes a little longer",
			took:     []time.Duration{150 * time.Millisecond},
			expected: 4,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			rebalancer := &Rebalancer{
				leadPasses: initialLead,
				passTime:   pass,
			}
			for _, took := range test.took {
				rebalancer.updateLead(took)
			}
			if rebalancer.leadPasses > test.expected || test.expected > initialLead && rebalancer.leadPasses < test.expected {
				t.Errorf("%d passes ahead, expected %d", rebalancer.leadPasses, test.expected)
			}
		})
	}
}
