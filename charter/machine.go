package charter

import "github.com/rotisserie/eris"

// Machine is a state machine that follows a chart and is not safe for concurrent use.
type Machine struct {
	chart *Chart
	state State
}

// State returns the current state.
func (machine *Machine) State() State { return machine.state }

// Can returns whether the current state has a transition for the event.
func (machine *Machine) Can(event Event) bool {
	if machine.chart == nil {
		return false
	}
	_, ok := machine.chart.transitions[machine.state][event]
	return ok
}

// Fire moves to the next state, or returns an error and keeps the state if the chart has no transition for the event.
func (machine *Machine) Fire(event Event) error {
	if machine.chart == nil {
		return eris.Errorf("event %q fired on a machine without a chart", event)
	}
	next, ok := machine.chart.transitions[machine.state][event]
	if !ok {
		return eris.Errorf("state chart %q: no transition from %q on %q", machine.chart.name, machine.state, event)
	}
	machine.state = next
	return nil
}

// Done returns whether the current state is final.
func (machine *Machine) Done() bool {
	return machine.chart != nil && machine.chart.final[machine.state]
}
