package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/harness"
)

// runHold starts the demonstration fleet, prints its addresses and keeps it
// running until interrupted.
func runHold(bin string) error {
	tree, err := os.ReadFile(kigaliSettingsFile)
	if err != nil {
		return fault.Wrap(fault.NotFound, err, "run this command from the root of the repository")
	}
	err = withFleet(bin, func(f *harness.Fleet) error {
		if err := startDemoFleet(f, string(tree)); err != nil {
			return err
		}
		printAddresses(f)
		select {}
	})
	if fault.CodeOf(err) == fault.Canceled {
		return nil
	}
	return err
}

// printAddresses prints the addresses and process ids of the fleet, and an
// umberctl command that covers every failure domain.
func printAddresses(f *harness.Fleet) {
	seen := map[string]bool{}
	var firstOfDomain []string
	for i, n := range f.Nodes {
		fmt.Printf("%-14s pid %d  http %s  admin %s  beside %s pid %d at %s\n",
			n.Name, n.PID(), n.HTTP, n.Admin, f.Servers[i].Service, f.Servers[i].PID(), f.Servers[i].Addr)
		if !seen[n.Domain] {
			seen[n.Domain] = true
			firstOfDomain = append(firstOfDomain, "-n "+n.Admin)
		}
	}
	fmt.Println("folder " + f.Dir)
	fmt.Println("try: bin/umberctl " + strings.Join(firstOfDomain, " ") + " status")
}
