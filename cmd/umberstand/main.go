// Umberstand is a stand-in backend server for demonstrations and measurements.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/standin"
)

func main() {
	app := kingpin.New("umberstand", "A stand-in backend server: it announces itself to its node and works for a time on each request.")
	var o standin.Options
	app.Flag("service", "Its service, fleet/service.").Required().StringVar(&o.Service)
	app.Flag("listen", "Where it takes requests.").Default("127.0.0.1:0").StringVar(&o.ListenAddr)
	app.Flag("node", "Where its node takes HTTP.").Required().StringVar(&o.NodeAddr)
	app.Flag("slots", "Requests that it works on at once.").Default("8").IntVar(&o.Slots)
	app.Flag("connections", "Connections that it takes.").Default("64").IntVar(&o.Connections)
	app.Flag("cold-start", "How long it is slower at first.").Default("0s").DurationVar(&o.ColdStart)
	kinds := app.Flag("kind", "A request kind: name=time[:target[*count],...][@answer bytes]. Repeat for more.").Required().Strings()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	o.AnnounceInterval = time.Second
	if err := run(o, *kinds); err != nil {
		fmt.Fprintln(os.Stderr, "umberstand:", err)
		os.Exit(fault.CodeOf(err).ExitCode())
	}
}

// run serves the given request kinds until SIGTERM or SIGINT.
func run(o standin.Options, kinds []string) error {
	o.Kinds = map[string]standin.KindBehavior{}
	for _, s := range kinds {
		name, k, err := standin.ParseKind(s)
		if err != nil {
			return err
		}
		o.Kinds[name] = k
	}
	s, err := standin.Start(o)
	if err != nil {
		return err
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	<-stop
	s.Stop()
	return nil
}
