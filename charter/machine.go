package charter

import "github.com/rotisserie/eris"

// Machine is one run through a chart, used by one goroutine at a time.
type Machine struct {
	chart *Chart
	state State
}

// State returns the present state.
func (machine *Machine) State() State { return machine.state }

// Can returns whether the present state has a transition for the event.
func (machine *Machine) Can(event Event) bool {
	if machine.chart == nil {
		return false
	}
	_, ok := machine.chart.transitions[machine.state][event]
	return ok
}

// Fire moves to the next state or returns an error and stays when the chart has no such transition.
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

// Done returns whether the present state is final.
func (machine *Machine) Done() bool {
	return machine.chart != nil && machine.chart.final[machine.state]
}
