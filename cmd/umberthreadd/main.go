// Umberthreadd is the node process that runs beside one backend server instance.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/logging"
	"github.com/umberthread/umberthread/internal/node"
)

const help = `The node that stands beside one backend server instance.

It takes requests of callers at /call/fleet/service/kind, sends each to the node
beside a chosen backend server, and runs what other nodes send on its own. Its
settings file names its addresses, its failure domain and some other nodes; a
node with a data folder also holds replicas of the durable state. SIGTERM stops
it gracefully: nothing in flight is cut.`

const (
	// garbageCollectionPercent trades memory for fewer collections, which delay calls.
	// Near memoryLimitBytes the collector runs as often as needed.
	garbageCollectionPercent = 400
	// memoryLimitBytes leaves headroom below the 256 MB that a node may use.
	memoryLimitBytes = 200 << 20
)

func main() {
	app := kingpin.New("umberthreadd", help)
	path := app.Flag("settings", "The process's settings file, TOML.").Short('s').Required().String()
	check := app.Flag("check", "Check the settings file and exit.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(*path, *check); err != nil {
		fmt.Fprintln(os.Stderr, "umberthreadd:", err)
		os.Exit(fault.CodeOf(err).ExitCode())
	}
}

// run starts a node with the settings file at path and stops it on SIGTERM or
// SIGINT. With checkOnly it only validates the file.
func run(path string, checkOnly bool) error {
	opt, err := node.LoadOptions(path)
	if err != nil || checkOnly {
		return err
	}
	out := logging.NewAsync(os.Stdout)
	defer out.Flush()
	n, err := node.New(opt, logging.New(out, opt.LogLevel))
	if err != nil {
		return err
	}
	debug.SetGCPercent(garbageCollectionPercent)
	debug.SetMemoryLimit(memoryLimitBytes)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	if err := n.Start(); err != nil {
		return err
	}
	<-stop
	if !n.Stop() {
		return fault.New(fault.Deadline, "requests were still in flight when the stop timed out").WithUnknownExecution()
	}
	return nil
}
