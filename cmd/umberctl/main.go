// Umberctl is the command-line tool of fleet operators.
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

// cli is the command line: its flags, and the action of each command by full
// command name.
type cli struct {
	app          *kingpin.Application
	nodes        *[]string
	outputFormat *string
	actions      map[string]func(ctl.Output) error
}

func main() {
	c := newCLI()
	name := kingpin.MustParse(c.app.Parse(os.Args[1:]))
	out := ctl.Output{W: os.Stdout, JSON: *c.outputFormat == "json"}
	if err := c.actions[name](out); err != nil {
		e := fault.From(err)
		fmt.Fprintln(os.Stderr, "umberctl:", err)
		os.Exit(e.Code.ExitCode())
	}
}

// newCLI declares all flags and commands.
func newCLI() *cli {
	c := &cli{app: kingpin.New("umberctl", help), actions: map[string]func(ctl.Output) error{}}
	c.nodes = c.app.Flag("node", "Admin address of a node. Repeat for one node of each failure domain.").Short('n').
		Envar("UMBERCTL_NODE").Default("127.0.0.1:7003").Strings()
	c.outputFormat = c.app.Flag("output", "How to print.").Short('o').Default("table").Enum("table", "json")
	c.addConfigCommands()
	c.addInspectionCommands()
	c.addOperationCommands()
	c.addWorkspaceCommands()
	return c
}

// firstNode returns a client of the first node named by --node.
func (c *cli) firstNode() *ctl.Client { return ctl.NewClient((*c.nodes)[0]) }

// addConfigCommands adds the commands that read and change the settings tree.
func (c *cli) addConfigCommands() {
	config := c.app.Command("config", "Read and change the settings tree.")

	get := config.Command("get", "Print the settings in force, of all scopes or below one.")
	getScope := get.Arg("scope", "fleet, fleet/service or fleet/service/kind.").String()
	current := get.Flag("current", "Those that a quorum of replicas confirms, instead of the node's own.").Bool()
	c.actions[get.FullCommand()] = func(o ctl.Output) error { return ctl.ConfigGet(o, c.firstNode(), *getScope, *current) }

	set := config.Command("set", "Change settings: umberctl config set kigali/sheets/open#deadline=8s")
	ch := addChangeFlags(set)
	c.actions[set.FullCommand()] = func(o ctl.Output) error { return ctl.ConfigSet(o, c.firstNode(), *ch) }

	diff := config.Command("diff", "Show what a change would set and remove, without making it.")
	dch := addChangeFlags(diff)
	dch.DryRun = true
	c.actions[diff.FullCommand()] = func(o ctl.Output) error { return ctl.ConfigSet(o, c.firstNode(), *dch) }

	explain := config.Command("explain", "Print each effective value of a scope and the level that it comes from.")
	scope := explain.Arg("scope", "fleet, fleet/service or fleet/service/kind.").Required().String()
	c.actions[explain.FullCommand()] = func(o ctl.Output) error { return ctl.ConfigExplain(o, c.firstNode(), *scope) }

	history := config.Command("history", "Print the last accepted changes.")
	c.actions[history.FullCommand()] = func(o ctl.Output) error { return ctl.ConfigHistory(o, c.firstNode()) }

	wait := config.Command("wait", "Wait until a version is in force on all nodes, and name those that lack it.")
	version := wait.Arg("version", "The version.").Required().Uint64()
	timeout := wait.Flag("timeout", "How long to wait.").Default("10s").Duration()
	c.actions[wait.FullCommand()] = func(o ctl.Output) error { return ctl.ConfigWait(o, *c.nodes, *version, *timeout) }
}

// addChangeFlags adds the flags that describe a settings change to cmd and returns
// the change that they fill in.
func addChangeFlags(cmd *kingpin.CmdClause) *ctl.SettingsChange {
	ch := &ctl.SettingsChange{}
	cmd.Arg("change", "scope#key=value; the default's scope is empty: #deadline=5s").StringsVar(&ch.Set)
	cmd.Flag("file", "A TOML document that replaces the fleets that it describes. Repeat for more.").Short('f').StringsVar(&ch.Files)
	cmd.Flag("unset", "scope#key to remove. Repeat for more.").StringsVar(&ch.Unset)
	cmd.Flag("base", "The version that the change is made on; the current one by default.").Uint64Var(&ch.Base)
	cmd.Flag("id", "The change's id; to send a change again, give the id that it had.").StringVar(&ch.ID)
	cmd.Flag("note", "A note for the history.").StringVar(&ch.Note)
	return ch
}

// addInspectionCommands adds the commands that print the state of the fleet and of
// requests, and the program's settings and state charts.
func (c *cli) addInspectionCommands() {
	status := c.app.Command("status", "Print the state of all nodes.")
	c.actions[status.FullCommand()] = func(o ctl.Output) error { return ctl.PrintStatus(o, *c.nodes) }

	members := c.app.Command("members", "Print the members of the failure domains.")
	c.actions[members.FullCommand()] = func(o ctl.Output) error { return ctl.PrintMembers(o, *c.nodes) }

	quarantine := c.app.Command("quarantine", "Print which requests are refused because they terminate the backend servers that run them.")
	c.actions[quarantine.FullCommand()] = func(o ctl.Output) error { return ctl.PrintQuarantine(o, *c.nodes) }

	requests := c.app.Command("requests", "Print why requests were shed, routed or retried.")
	id := requests.Flag("id", "Only the request with this id.").String()
	reason := requests.Flag("reason", "Only requests with this reason, such as overload.").String()
	c.actions[requests.FullCommand()] = func(o ctl.Output) error { return ctl.PrintRequests(o, *c.nodes, *id, *reason) }

	explain := c.app.Command("explain", "Explain what happened to a request from the logs of one or more processes.")
	of := explain.Arg("id", "The request's id.").Required().String()
	logs := explain.Arg("log", "Log files; - is standard input.").Default("-").Strings()
	c.actions[explain.FullCommand()] = func(o ctl.Output) error { return ctl.PrintRequestLog(o.W, *of, *logs) }

	report := c.app.Command("report", "Reports over the fleet.")
	burnCmd := report.Command("burn", "Service-level burn by request kind, refusals by reason, retries, recovery after overloads.")
	html := burnCmd.Flag("html", "Also write it as one self-contained HTML page.").String()
	c.actions[burnCmd.FullCommand()] = func(o ctl.Output) error { return ctl.PrintBurn(o, *c.nodes, *html) }

	reference := c.app.Command("settings", "Print the reference of all settings as Markdown, from the program's own table.")
	c.actions[reference.FullCommand()] = ctl.PrintSettingsReference

	charts := c.app.Command("charts", "Print the state charts that the program implements.")
	name := charts.Arg("name", "Only this chart.").String()
	format := charts.Flag("format", "The language of the drawing.").Default("mermaid").Enum("mermaid", "graphviz")
	c.actions[charts.FullCommand()] = func(o ctl.Output) error { return ctl.PrintCharts(o, *name, *format) }

	events := c.app.Command("events", "Print the last notable decisions of all nodes, in order of time.")
	c.actions[events.FullCommand()] = func(o ctl.Output) error { return ctl.PrintEvents(o, *c.nodes) }
}

// addWorkspaceCommands adds the commands for workspaces and their keys.
func (c *cli) addWorkspaceCommands() {
	ws := c.app.Command("workspace", "Manage workspaces; rate, burst and class are set with umberctl config set workspace:NAME#rate=200.")
	list := ws.Command("list", "Print the workspaces, the fingerprints of their keys, and their use against the limit.")
	c.actions[list.FullCommand()] = func(o ctl.Output) error { return ctl.PrintWorkspaces(o, *c.nodes) }

	add := ws.Command("add-key", "Make a new key of a workspace and print it, this once.")
	addTo := add.Arg("name", "The workspace; it is made if it does not exist.").Required().String()
	c.actions[add.FullCommand()] = func(o ctl.Output) error { return ctl.AddWorkspaceKey(o, c.firstNode(), *addTo) }

	remove := ws.Command("remove-key", "Take a key away from a workspace.")
	removeFrom := remove.Arg("name", "The workspace.").Required().String()
	fingerprint := remove.Arg("fingerprint", "The key's fingerprint, as the list shows it.").Required().String()
	c.actions[remove.FullCommand()] = func(o ctl.Output) error {
		return ctl.RemoveWorkspaceKey(o, c.firstNode(), *removeFrom, *fingerprint)
	}
}

// addOperationCommands adds the commands that drain nodes and manage replicas.
func (c *cli) addOperationCommands() {
	drain := c.app.Command("drain", "Send no new requests to the backend server beside a node.")
	undo := drain.Flag("undo", "Send requests to it again.").Bool()
	c.actions[drain.FullCommand()] = func(o ctl.Output) error { return ctl.SetDrained(o, c.firstNode(), !*undo) }

	replicas := c.app.Command("replicas", "Manage the replicas of the durable state.")
	form := replicas.Command("form", "Form the replica groups on a node with a new data folder. Do this once in the life of a fleet.")
	show := replicas.Command("show", "Print the groups as their leaders see them: members, whether one more loss is tolerated, the last repair.")
	c.actions[show.FullCommand()] = func(o ctl.Output) error { return ctl.PrintReplicas(o, *c.nodes) }
	c.actions[form.FullCommand()] = func(o ctl.Output) error { return ctl.FormGroups(o, c.firstNode()) }
}
