// Umberctl is the operators' command-line tool.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/ctl"
)

const help = `Drive and watch a fleet of umberthread nodes.

Name the admin address of one node of each failure domain with --node; the tool
finds the others. Exit codes tell the kind of failure: 2 bad request, 3 invalid
setting, 4 not found, 5 conflict, 6 outcome unknown, 7 no quorum, 8 damaged or
malformed, 10 overload, 11 deadline, 12 nobody to serve, 15 no answer.`

type command struct {
	app   *kingpin.Application
	nodes *[]string
	json  *string
	runs  map[string]func(ctl.Out) error
}

func main() {
	c := newCommand()
	name := kingpin.MustParse(c.app.Parse(os.Args[1:]))
	out := ctl.Out{W: os.Stdout, JSON: *c.json == "json"}
	if err := c.runs[name](out); err != nil {
		e := fault.From(err)
		fmt.Fprintln(os.Stderr, "umberctl:", err)
		os.Exit(e.Code.ExitCode())
	}
}

func newCommand() *command {
	c := &command{app: kingpin.New("umberctl", help), runs: map[string]func(ctl.Out) error{}}
	c.nodes = c.app.Flag("node", "Admin address of a node. Repeat for one node of each failure domain.").Short('n').
		Envar("UMBERCTL_NODE").Default("127.0.0.1:7003").Strings()
	c.json = c.app.Flag("output", "How to print.").Short('o').Default("table").Enum("table", "json")
	c.config()
	c.watch()
	c.act()
	return c
}

func (c *command) first() *ctl.Client { return ctl.NewClient((*c.nodes)[0]) }

func (c *command) config() {
	config := c.app.Command("config", "Read and change the settings tree.")

	get := config.Command("get", "Print the settings in force, of all scopes or below one.")
	getScope := get.Arg("scope", "fleet, fleet/service or fleet/service/kind.").String()
	current := get.Flag("current", "Those that a quorum of replicas confirms, instead of the node's own.").Bool()
	c.runs[get.FullCommand()] = func(o ctl.Out) error { return ctl.ConfigGet(o, c.first(), *getScope, *current) }

	set := config.Command("set", "Change settings: umberctl config set kigali/sheets/open#deadline=8s")
	ch := changeFlags(set)
	c.runs[set.FullCommand()] = func(o ctl.Out) error { return ctl.ConfigSet(o, c.first(), *ch) }

	diff := config.Command("diff", "Show what a change would set and remove, without making it.")
	dch := changeFlags(diff)
	dch.DryRun = true
	c.runs[diff.FullCommand()] = func(o ctl.Out) error { return ctl.ConfigSet(o, c.first(), *dch) }

	explain := config.Command("explain", "Print each effective value of a scope and the level that it comes from.")
	scope := explain.Arg("scope", "fleet, fleet/service or fleet/service/kind.").Required().String()
	c.runs[explain.FullCommand()] = func(o ctl.Out) error { return ctl.ConfigExplain(o, c.first(), *scope) }

	history := config.Command("history", "Print the last accepted changes.")
	c.runs[history.FullCommand()] = func(o ctl.Out) error { return ctl.ConfigHistory(o, c.first()) }

	wait := config.Command("wait", "Wait until a version is in force on all nodes, and name those that lack it.")
	version := wait.Arg("version", "The version.").Required().Uint64()
	timeout := wait.Flag("timeout", "How long to wait.").Default("10s").Duration()
	c.runs[wait.FullCommand()] = func(o ctl.Out) error { return ctl.ConfigWait(o, *c.nodes, *version, *timeout) }
}

func changeFlags(cmd *kingpin.CmdClause) *ctl.Change {
	ch := &ctl.Change{}
	cmd.Arg("change", "scope#key=value; the default's scope is empty: #deadline=5s").StringsVar(&ch.Set)
	cmd.Flag("file", "A TOML document that replaces the fleets that it describes. Repeat for more.").Short('f').StringsVar(&ch.Files)
	cmd.Flag("unset", "scope#key to remove. Repeat for more.").StringsVar(&ch.Unset)
	cmd.Flag("base", "The version that the change is made on; the current one by default.").Uint64Var(&ch.Base)
	cmd.Flag("id", "The change's id; to send a change again, give the id that it had.").StringVar(&ch.ID)
	cmd.Flag("note", "A note for the history.").StringVar(&ch.Note)
	return ch
}

func (c *command) watch() {
	status := c.app.Command("status", "Print the state of all nodes.")
	c.runs[status.FullCommand()] = func(o ctl.Out) error { return ctl.StatusOf(o, *c.nodes) }

	members := c.app.Command("members", "Print the members of the failure domains.")
	c.runs[members.FullCommand()] = func(o ctl.Out) error { return ctl.Members(o, *c.nodes) }

	quarantine := c.app.Command("quarantine", "Print which requests are refused as they end the backend servers that run them.")
	c.runs[quarantine.FullCommand()] = func(o ctl.Out) error { return ctl.Quarantine(o, *c.nodes) }

	requests := c.app.Command("requests", "Print why requests were shed, routed or retried.")
	id := requests.Flag("id", "Only the request with this id.").String()
	reason := requests.Flag("reason", "Only requests with this reason, such as overload.").String()
	c.runs[requests.FullCommand()] = func(o ctl.Out) error { return ctl.Requests(o, *c.nodes, *id, *reason) }

	explain := c.app.Command("explain", "Tell the story of a request from the logs of one or many processes.")
	of := explain.Arg("id", "The request's id.").Required().String()
	logs := explain.Arg("log", "Log files; - is standard input.").Default("-").Strings()
	c.runs[explain.FullCommand()] = func(o ctl.Out) error { return ctl.Explain(o.W, *of, *logs) }

	report := c.app.Command("report", "Reports over the fleet.")
	burnCmd := report.Command("burn", "Service-level burn by request kind, refusals by reason, retries, recovery after overloads.")
	html := burnCmd.Flag("html", "Also write it as one self-contained HTML page.").String()
	c.runs[burnCmd.FullCommand()] = func(o ctl.Out) error { return ctl.ReportBurn(o, *c.nodes, *html) }

	reference := c.app.Command("settings", "Print the reference of all settings as Markdown, from the program's own table.")
	c.runs[reference.FullCommand()] = ctl.SettingsReference

	charts := c.app.Command("charts", "Print the state charts that the program runs by.")
	name := charts.Arg("name", "Only this chart.").String()
	format := charts.Flag("format", "The language of the drawing.").Default("mermaid").Enum("mermaid", "graphviz")
	c.runs[charts.FullCommand()] = func(o ctl.Out) error { return ctl.Charts(o, *name, *format) }

	events := c.app.Command("events", "Print the last decisions of note, in the order of time across the nodes.")
	c.runs[events.FullCommand()] = func(o ctl.Out) error { return ctl.Events(o, *c.nodes) }
}

func (c *command) act() {
	drain := c.app.Command("drain", "Keep new work away from the backend server beside a node.")
	undo := drain.Flag("undo", "Let work back.").Bool()
	c.runs[drain.FullCommand()] = func(o ctl.Out) error { return ctl.Drain(o, c.first(), !*undo) }

	replicas := c.app.Command("replicas", "Manage the replicas of the durable state.")
	form := replicas.Command("form", "Form the replica groups on a node with a new data folder. Do this once in the life of a fleet.")
	show := replicas.Command("show", "Print the groups as their leaders see them: members, whether one more loss is borne, the last repair.")
	c.runs[show.FullCommand()] = func(o ctl.Out) error { return ctl.Replicas(o, *c.nodes) }
	c.runs[form.FullCommand()] = func(o ctl.Out) error { return ctl.Form(o, c.first()) }
}
