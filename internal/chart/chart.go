// Package chart holds the life cycles of the product's parts as state charts
// in files, checks them when they are loaded, and interprets them: the code
// that runs a life cycle asks its chart for the next state, so that the files
// are what the program does, not a drawing of it.
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
var files embed.FS

// State is a state of a chart, as an index into it.
type State uint8

// Event is an event of a chart, as an index into it.
type Event uint8

// none is the entry of a transition that a chart does not have.
const none State = 255

// maxStates bounds a chart.
const maxStates = 64

// Chart is a checked state chart. It is immutable.
type Chart struct {
	// Name is the chart's name.
	Name string
	// Doc says what goes through the states.
	Doc string

	states []string
	events []string
	ends   map[State]bool
	table  [][]State
}

// file is the form of a chart's file.
type file struct {
	Doc    string                       `toml:"doc"`
	Start  string                       `toml:"start"`
	Ends   []string                     `toml:"ends"`
	States map[string]map[string]string `toml:"states"`
}

// Load returns the chart of the given name.
func Load(name string) (*Chart, error) {
	data, err := files.ReadFile("charts/" + name + ".toml")
	if err != nil {
		return nil, fault.Wrap(fault.NotFound, err, "no such chart")
	}
	return Parse(name, data)
}

// MustLoad is Load for the charts that the program embeds; a test checks them.
func MustLoad(name string) *Chart {
	c, err := Load(name)
	if err != nil {
		panic(err)
	}
	return c
}

// Names returns the names of the embedded charts.
func Names() []string {
	entries, err := files.ReadDir("charts")
	if err != nil {
		return nil
	}
	var out []string
	for _, e := range entries {
		out = append(out, strings.TrimSuffix(e.Name(), ".toml"))
	}
	return out
}

// Parse reads and checks a chart: every target is a state, every state can be
// reached, and every state but the ends has a way out.
func Parse(name string, data []byte) (*Chart, error) {
	var f file
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		return nil, fault.Wrap(fault.InvalidSetting, err, "chart "+name)
	}
	c := &Chart{Name: name, Doc: f.Doc, ends: map[State]bool{}}
	if err := c.build(&f); err != nil {
		return nil, err
	}
	return c, c.check(&f)
}

// build numbers states and events; the start is state 0.
func (c *Chart) build(f *file) error {
	if _, ok := f.States[f.Start]; !ok || len(f.States) > maxStates {
		return fault.Newf(fault.InvalidSetting, "chart %s: start %q is no state, or there are more than %d", c.Name, f.Start, maxStates)
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
			row[i] = none
			target, ok := f.States[s][e]
			if !ok {
				continue
			}
			to, known := c.state(target)
			if !known {
				return fault.Newf(fault.InvalidSetting, "chart %s: %s on %s leads to %q, which is no state", c.Name, s, e, target)
			}
			row[i] = to
		}
		c.table = append(c.table, row)
	}
	return nil
}

func (c *Chart) check(f *file) error {
	for _, e := range f.Ends {
		s, ok := c.state(e)
		if !ok {
			return fault.Newf(fault.InvalidSetting, "chart %s: end %q is no state", c.Name, e)
		}
		c.ends[s] = true
	}
	reached := map[State]bool{0: true}
	for todo := []State{0}; len(todo) > 0; todo = todo[1:] {
		for _, to := range c.table[todo[0]] {
			if to != none && !reached[to] {
				reached[to] = true
				todo = append(todo, to)
			}
		}
	}
	for i, s := range c.states {
		if !reached[State(i)] {
			return fault.Newf(fault.InvalidSetting, "chart %s: state %q cannot be reached", c.Name, s)
		}
		if !c.ends[State(i)] && c.stuck(State(i)) {
			return fault.Newf(fault.InvalidSetting, "chart %s: state %q has no way out and is no end", c.Name, s)
		}
	}
	return nil
}

func (c *Chart) stuck(s State) bool {
	for _, to := range c.table[s] {
		if to != none && to != s {
			return false
		}
	}
	return true
}

func (c *Chart) state(name string) (State, bool) {
	for i, s := range c.states {
		if s == name {
			return State(i), true
		}
	}
	return none, false
}

// Event returns the event of the given name. It panics on a name that the
// chart does not have: names are constants of the program.
func (c *Chart) Event(name string) Event {
	for i, e := range c.events {
		if e == name {
			return Event(i)
		}
	}
	panic("chart " + c.Name + " has no event " + name)
}

// State returns the state of the given name, like Event.
func (c *Chart) State(name string) State {
	s, ok := c.state(name)
	if !ok {
		panic("chart " + c.Name + " has no state " + name)
	}
	return s
}

// Next returns the state that an event leads to; false if the event changes
// nothing in this state.
func (c *Chart) Next(s State, e Event) (State, bool) {
	to := c.table[s][e]
	return to, to != none
}

// Text returns the name of a state.
func (c *Chart) StateName(s State) string { return c.states[s] }

// Start is the first state of every chart.
const InitialState State = 0

// Mermaid draws the chart as the text of a Mermaid state diagram.
func (c *Chart) Mermaid() string {
	var b strings.Builder
	b.WriteString("stateDiagram-v2\n")
	fmt.Fprintf(&b, "    [*] --> %s\n", c.states[0])
	c.each(func(from, event, to string) { fmt.Fprintf(&b, "    %s --> %s: %s\n", from, to, event) })
	for i, s := range c.states {
		if c.ends[State(i)] {
			fmt.Fprintf(&b, "    %s --> [*]\n", s)
		}
	}
	return b.String()
}

// Graphviz draws the chart as the text of a Graphviz graph.
func (c *Chart) Graphviz() string {
	var b strings.Builder
	fmt.Fprintf(&b, "digraph %q {\n  rankdir=LR;\n", c.Name)
	for i, s := range c.states {
		shape := "box"
		if c.ends[State(i)] {
			shape = "doublecircle"
		}
		fmt.Fprintf(&b, "  %q [shape=%s];\n", s, shape)
	}
	c.each(func(from, event, to string) { fmt.Fprintf(&b, "  %q -> %q [label=%q];\n", from, to, event) })
	b.WriteString("}\n")
	return b.String()
}

func (c *Chart) each(f func(from, event, to string)) {
	for i, row := range c.table {
		for j, to := range row {
			if to != none {
				f(c.states[i], c.events[j], c.states[to])
			}
		}
	}
}
