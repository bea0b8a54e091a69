package agent

import (
	"testing"
	"time"
)

// TestCandidatesAreStaggered answers the pattern "all 192 agents of a group hear no controller any more at the same moment": the first candidates request
// the lease one after the other, and the others not before these have had their turns.
func TestCandidatesAreStaggered(t *testing.T) {
	const agents = 192
	for position := range agents {
		delay := candidateDelay(position)
		if position < staggeredCandidates && delay != time.Duration(position)*candidateSpacing {
			t.Errorf("candidate %d requests the lease after %s", position, delay)
		}
		if position >= staggeredCandidates && (delay < staggeredCandidates*candidateSpacing || delay > staggeredCandidates*candidateSpacing+lateCandidates) {
			t.Errorf("candidate %d requests the lease after %s", position, delay)
		}
	}
}
