package main

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/harness"
)

// kigaliDomains are the failure domains of the Kigali fleet.
var kigaliDomains = []string{"nyarugenge", "kicukiro", "gasabo", "remera"}

// serviceSpec describes the stand-in backend servers of one service: the slots
// and connections of each, and its request kinds in the syntax of standin.ParseKind.
type serviceSpec struct {
	name  string
	slots int
	conns int
	kinds []string
}

// withFleet runs do on an empty fleet and stops the fleet's processes when do
// returns or the command is interrupted.
func withFleet(bin string, do func(f *harness.Fleet) error) (err error) {
	f, err := harness.New(bin)
	if err != nil {
		return err
	}
	defer func() {
		if serr := f.Stop(); err == nil {
			err = serr
		}
	}()
	done := make(chan error, 1)
	go func() { done <- do(f) }()
	// Stop the processes on an interrupt too.
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(stop)
	select {
	case err = <-done:
		return err
	case <-stop:
		return fault.New(fault.Canceled, "interrupted")
	}
}

// startFleet starts a node with a stand-in backend server for each pair of failure
// domain and service that hasNode selects. One node in each of the first three
// domains holds a replica. startFleet returns once every replica group has three
// voters.
func startFleet(f *harness.Fleet, domains []string, services []serviceSpec, hasNode func(domain, service int) bool) error {
	for d, domain := range domains {
		disk := d < 3
		for i := range services {
			if !hasNode(d, i) {
				continue
			}
			n, err := f.StartNode(harness.NodeSpec{Domain: domain, HasDisk: disk, ExtraSettings: []string{"replicas = 3", "shards = 2"}})
			if err != nil {
				return err
			}
			disk = false
			s := services[i]
			if _, err := f.StartServer(n, harness.ServerSpec{Service: s.name, Slots: s.slots, Connections: s.conns, Kinds: s.kinds}); err != nil {
				return err
			}
		}
	}
	if err := f.FormReplicaGroups(f.Nodes[0]); err != nil {
		return err
	}
	return awaitVoters(f, 3)
}

// awaitVoters waits until every replica group has n voters.
func awaitVoters(f *harness.Fleet, n int) error {
	return harness.Await(30*time.Second, func() error {
		s, err := f.Nodes[0].Status()
		if err != nil {
			return err
		}
		for _, g := range s.Replica.Groups {
			if len(g.Voters) != n {
				return fault.Newf(fault.NotFound, "group %d has %d voters", g.Group, len(g.Voters))
			}
		}
		return nil
	})
}
