// Package chart loads, validates and interprets state charts. The charts define
// the life cycles of nodes, connections and other parts; they are embedded TOML
// files, and the code takes its state transitions from them.
package chart

import (
	"bytes"
	"embed"
	"fmt"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"github.com/umberthread/umberthread/fault"
)

//go:embed charts/*.toml
var chartFiles embed.FS

// State is the index of a state in its chart.
type State uint8

// Event is the index of an event in its chart.
type Event uint8

// noTransition marks an event that a state ignores.
const noTransition State = 255

// maxStates is the largest number of states of a chart.
const maxStates = 64

// Chart is a validated state chart. It is immutable.
type Chart struct {
	// Name is the chart's file name without its extension.
	Name string
	// Doc describes what has these states.
	Doc string

	states      []string
	events      []string
	finalStates map[State]bool
	transitions [][]State
}

// chartFile is the content of a chart's file. States maps each state to its
// events and their target states.
type chartFile struct {
	Doc    string                       `toml:"doc"`
	Start  string                       `toml:"start"`
	Ends   []string                     `toml:"ends"`
	States map[string]map[string]string `toml:"states"`
}

// Load returns the embedded chart of the given name.
func Load(name string) (*Chart, error) {
	data, err := chartFiles.ReadFile("charts/" + name + ".toml")
	if err != nil {
		return nil, fault.Wrap(fault.NotFound, err, "no such chart")
	}
	return Parse(name, data)
}

// MustLoad is like Load but panics on an error.
func MustLoad(name string) *Chart {
	c, err := Load(name)
	if err != nil {
		panic(err)
	}
	return c
}

// Names returns the names of the embedded charts.
func Names() []string {
	entries, err := chartFiles.ReadDir("charts")
	if err != nil {
		return nil
	}
	var out []string
	for _, e := range entries {
		out = append(out, strings.TrimSuffix(e.Name(), ".toml"))
	}
	return out
}

// Parse decodes and validates a chart: every target is a state, every state is
// reachable, and every state except the final ones has a transition to another.
func Parse(name string, data []byte) (*Chart, error) {
	var f chartFile
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		return nil, fault.Wrap(fault.InvalidSetting, err, "chart "+name)
	}
	c := &Chart{Name: name, Doc: f.Doc, finalStates: map[State]bool{}}
	if err := c.index(&f); err != nil {
		return nil, err
	}
	return c, c.validate(&f)
}

// index numbers the states and events and fills in the transitions. The initial
// state is state 0.
func (c *Chart) index(f *chartFile) error {
	if _, ok := f.States[f.Start]; !ok || len(f.States) > maxStates {
		return fault.Newf(fault.InvalidSetting, "chart %s: start %q is no state, or there are more than %d states", c.Name, f.Start, maxStates)
	}
	c.states = []string{f.Start}
	events := map[string]bool{}
	for s, out := range f.States {
		if s != f.Start {
			c.states = append(c.states, s)
		}
		for e := range out {
			events[e] = true
		}
	}
	sort.Strings(c.states[1:])
	for e := range events {
		c.events = append(c.events, e)
	}
	sort.Strings(c.events)
	for _, s := range c.states {
		row := make([]State, len(c.events))
		for i, e := range c.events {
			row[i] = noTransition
			target, ok := f.States[s][e]
			if !ok {
				continue
			}
			to, known := c.lookupState(target)
			if !known {
				return fault.Newf(fault.InvalidSetting, "chart %s: %s on %s leads to %q, which is no state", c.Name, s, e, target)
			}
			row[i] = to
		}
		c.transitions = append(c.transitions, row)
	}
	return nil
}

// validate records the final states and checks reachability and dead ends.
func (c *Chart) validate(f *chartFile) error {
	for _, e := range f.Ends {
		s, ok := c.lookupState(e)
		if !ok {
			return fault.Newf(fault.InvalidSetting, "chart %s: end %q is no state", c.Name, e)
		}
		c.finalStates[s] = true
	}
	reached := map[State]bool{0: true}
	for todo := []State{0}; len(todo) > 0; todo = todo[1:] {
		for _, to := range c.transitions[todo[0]] {
			if to != noTransition && !reached[to] {
				reached[to] = true
				todo = append(todo, to)
			}
		}
	}
	for i, s := range c.states {
		if !reached[State(i)] {
			return fault.Newf(fault.InvalidSetting, "chart %s: state %q cannot be reached", c.Name, s)
		}
		if !c.finalStates[State(i)] && c.isDeadEnd(State(i)) {
			return fault.Newf(fault.InvalidSetting, "chart %s: state %q has no way out and is no end", c.Name, s)
		}
	}
	return nil
}

// isDeadEnd reports whether no transition leads from s to another state.
func (c *Chart) isDeadEnd(s State) bool {
	for _, to := range c.transitions[s] {
		if to != noTransition && to != s {
			return false
		}
	}
	return true
}

// lookupState returns the state of the given name, false if there is none.
func (c *Chart) lookupState(name string) (State, bool) {
	for i, s := range c.states {
		if s == name {
			return State(i), true
		}
	}
	return noTransition, false
}

// Event returns the event of the given name. It panics if the chart has no such
// event.
func (c *Chart) Event(name string) Event {
	for i, e := range c.events {
		if e == name {
			return Event(i)
		}
	}
	panic("chart " + c.Name + " has no event " + name)
}

// State returns the state of the given name. It panics if the chart has no such
// state.
func (c *Chart) State(name string) State {
	s, ok := c.lookupState(name)
	if !ok {
		panic("chart " + c.Name + " has no state " + name)
	}
	return s
}

// Next returns the target state of an event in state s, or false if s has no
// transition for the event.
func (c *Chart) Next(s State, e Event) (State, bool) {
	to := c.transitions[s][e]
	return to, to != noTransition
}

// StateName returns the name of a state.
func (c *Chart) StateName(s State) string { return c.states[s] }

// InitialState is the initial state of every chart.
const InitialState State = 0

// Mermaid returns the chart as a Mermaid state diagram.
func (c *Chart) Mermaid() string {
	var b strings.Builder
	b.WriteString("stateDiagram-v2\n")
	fmt.Fprintf(&b, "    [*] --> %s\n", c.states[0])
	c.forEachTransition(func(from, event, to string) { fmt.Fprintf(&b, "    %s --> %s: %s\n", from, to, event) })
	for i, s := range c.states {
		if c.finalStates[State(i)] {
			fmt.Fprintf(&b, "    %s --> [*]\n", s)
		}
	}
	return b.String()
}

// Graphviz returns the chart in Graphviz's DOT language.
func (c *Chart) Graphviz() string {
	var b strings.Builder
	fmt.Fprintf(&b, "digraph %q {\n  rankdir=LR;\n", c.Name)
	for i, s := range c.states {
		shape := "box"
		if c.finalStates[State(i)] {
			shape = "doublecircle"
		}
		fmt.Fprintf(&b, "  %q [shape=%s];\n", s, shape)
	}
	c.forEachTransition(func(from, event, to string) { fmt.Fprintf(&b, "  %q -> %q [label=%q];\n", from, to, event) })
	b.WriteString("}\n")
	return b.String()
}

// forEachTransition calls f for each transition, ordered by state and event.
func (c *Chart) forEachTransition(f func(from, event, to string)) {
	for i, row := range c.transitions {
		for j, to := range row {
			if to != noTransition {
				f(c.states[i], c.events[j], c.states[to])
			}
		}
	}
}
