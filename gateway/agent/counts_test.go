package agent

import (
	"slices"
	"testing"

	"github.com/cranberryward/cranberryward/steward"
)

// TestCountsAreToldByWhatCameSince goes through what may happen between an agent and a controller; the controller must always have the rank's counts.
func TestCountsAreToldByWhatCameSince(t *testing.T) {
	var told toldCounts
	var heard heardCounts
	life, born := uint64(1), int64(1)
	ask := func(counts []int64, lost bool) (since bool) {
		t.Helper()
		reply := ObserveReply{Life: life}
		reply.Observation = steward.Observation{}
		reply.Observation.Counts, reply.CountsNumber, reply.CountsSince = told.tell(counts, born, heard.after(life))
		if lost {
			heard.forget()
			return false
		}
		if has := heard.hear(reply); !slices.Equal(has, counts) {
			t.Errorf("the controller has %v, the rank %v", has, counts)
		}
		return reply.CountsSince
	}
	if ask([]int64{5, 7}, false) {
		t.Error("the first counts were told as those since")
	}
	if !ask([]int64{6, 9}, false) {
		t.Error("the next counts were told whole")
	}
	ask([]int64{8, 9}, true)
	if ask([]int64{9, 9}, false) {
		t.Error("after a lost reply the counts were told as those since")
	}
	born++
	if ask([]int64{1, 0}, false) {
		t.Error("after the rank's restart the counts were told as those since")
	}
	life, told = life+1, toldCounts{}
	if ask([]int64{2, 0}, false) {
		t.Error("after the agent's restart the counts were told as those since")
	}
	if !ask([]int64{2, 1}, false) {
		t.Error("the counts were told whole")
	}
}
