package charter

import (
	"embed"
	"encoding/json"
	"sort"

	"github.com/rotisserie/eris"
)

//go:embed charts/*.json
var files embed.FS

// State names a state of a chart.
type State string

// Event names an event of a chart.
type Event string

// Chart is a validated state chart.
type Chart struct {
	name        string
	initial     State
	final       map[State]bool
	transitions map[State]map[Event]State
	events      map[Event]bool
}

type chartFile struct {
	Name        string           `json:"name"`
	Initial     State            `json:"initial"`
	Final       []State          `json:"final"`
	States      []State          `json:"states"`
	Events      []Event          `json:"events"`
	Transitions []transitionFile `json:"transitions"`
}

type transitionFile struct {
	From  State `json:"from"`
	Event Event `json:"event"`
	To    State `json:"to"`
}

// Load returns the embedded chart with the given name.
func Load(name string) (*Chart, error) {
	data, err := files.ReadFile("charts/" + name + ".json")
	if err != nil {
		return nil, eris.Wrapf(err, "load state chart %q", name)
	}
	return Parse(data)
}

// MustLoad returns the embedded chart with the given name and panics if it is invalid or does not declare one of the events.
func MustLoad(name string, events ...Event) *Chart {
	chart, err := Load(name)
	if err == nil {
		err = chart.Require(events...)
	}
	if err != nil {
		panic(err)
	}
	return chart
}

// Parse returns the chart described by JSON, or an error if it names an undeclared state or event or has an unreachable state or an ambiguous transition.
func Parse(data []byte) (*Chart, error) {
	var file chartFile
	if err := json.Unmarshal(data, &file); err != nil {
		return nil, eris.Wrap(err, "decode state chart")
	}
	chart := &Chart{
		name:        file.Name,
		initial:     file.Initial,
		final:       map[State]bool{},
		transitions: map[State]map[Event]State{},
		events:      map[Event]bool{},
	}
	for _, state := range file.States {
		chart.transitions[state] = map[Event]State{}
	}
	for _, event := range file.Events {
		chart.events[event] = true
	}
	if err := chart.addTransitions(file); err != nil {
		return nil, err
	}
	return chart, chart.checkReachable()
}

func (chart *Chart) addTransitions(file chartFile) error {
	if !chart.hasState(file.Initial) {
		return eris.Errorf("state chart %q: initial state %q is not declared", file.Name, file.Initial)
	}
	for _, state := range file.Final {
		if !chart.hasState(state) {
			return eris.Errorf("state chart %q: final state %q is not declared", file.Name, state)
		}
		chart.final[state] = true
	}
	for i, transition := range file.Transitions {
		if !chart.hasState(transition.From) || !chart.hasState(transition.To) {
			return eris.Errorf("state chart %q: transition %d from %q to %q names an undeclared state", file.Name, i+1, transition.From, transition.To)
		}
		if !chart.events[transition.Event] {
			return eris.Errorf("state chart %q: transition %d names the undeclared event %q", file.Name, i+1, transition.Event)
		}
		if _, duplicate := chart.transitions[transition.From][transition.Event]; duplicate {
			return eris.Errorf("state chart %q: state %q has two transitions for event %q", file.Name, transition.From, transition.Event)
		}
		chart.transitions[transition.From][transition.Event] = transition.To
	}
	return nil
}

func (chart *Chart) hasState(state State) bool {
	_, known := chart.transitions[state]
	return known
}

func (chart *Chart) checkReachable() error {
	reached := map[State]bool{chart.initial: true}
	pending := []State{chart.initial}
	for len(pending) > 0 {
		state := pending[0]
		pending = pending[1:]
		for _, next := range chart.transitions[state] {
			if !reached[next] {
				reached[next] = true
				pending = append(pending, next)
			}
		}
	}
	for _, state := range chart.States() {
		if !reached[state] {
			return eris.Errorf("state chart %q: state %q cannot be reached", chart.name, state)
		}
	}
	return nil
}

// Name returns the chart's name.
func (chart *Chart) Name() string { return chart.name }

// States returns the declared states in alphabetical order.
func (chart *Chart) States() []State {
	states := make([]State, 0, len(chart.transitions))
	for state := range chart.transitions {
		states = append(states, state)
	}
	sort.Slice(states, func(i, j int) bool { return states[i] < states[j] })
	return states
}

// Require returns an error that names the first event that the chart does not declare.
func (chart *Chart) Require(events ...Event) error {
	for _, event := range events {
		if !chart.events[event] {
			return eris.Errorf("state chart %q: the program fires the undeclared event %q", chart.name, event)
		}
	}
	return nil
}

// Start returns a machine in the chart's initial state.
func (chart *Chart) Start() Machine {
	return Machine{
		chart: chart,
		state: chart.initial,
	}
}
