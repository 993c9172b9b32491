// Command lab2 plays a case of the review: it starts a small deployment of the project's own
// program, stand-ins for clients, servers and the platform, and checks one rule. It exits with
// 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 it
// does the same without the disruption.
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// cases are the cases by name. Each returns what broke the rule, one line for each break.
var cases = map[string]func(r *record, trouble bool) (breaks []string, err error){
	"drain-after-clock-step": drainAfterClockStep,
	"listed-field":           listedField,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, disruption: %t", os.Args[1], trouble)
	breaks, err := cases[os.Args[1]](r, trouble)
	if err != nil {
		r.add("could not run: %v", err)
		os.Exit(exitNotRun)
	}
	for _, b := range breaks {
		r.add("BROKEN: %s", b)
	}
	if len(breaks) > 0 {
		os.Exit(exitBroken)
	}
	r.add("the rule held")
	os.Exit(exitHeld)
}
