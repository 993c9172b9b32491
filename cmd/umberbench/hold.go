package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/harness"
)

// runHold starts the fleet of the demonstration, prints where it listens and
// keeps it until it is interrupted.
func runHold(bin string) error {
	tree, err := os.ReadFile(kigaliTree)
	if err != nil {
		return fault.Wrap(fault.NotFound, err, "run this from the folder of the repository")
	}
	err = withFleet(bin, func(f *harness.Fleet) error {
		if err := startDemo(f, string(tree)); err != nil {
			return err
		}
		printFleet(f)
		select {}
	})
	if fault.CodeOf(err) == fault.Canceled {
		return nil
	}
	return err
}

func printFleet(f *harness.Fleet) {
	seen := map[string]bool{}
	var first []string
	for i, n := range f.Nodes {
		fmt.Printf("%-14s pid %d  http %s  admin %s  beside %s pid %d at %s\n",
			n.Name, n.PID(), n.HTTP, n.Admin, f.Servers[i].Service, f.Servers[i].PID(), f.Servers[i].Addr)
		if !seen[n.Domain] {
			seen[n.Domain] = true
			first = append(first, "-n "+n.Admin)
		}
	}
	fmt.Println("folder " + f.Dir)
	fmt.Println("try: bin/umberctl " + strings.Join(first, " ") + " status")
}
