// Package seed makes the stateful fuzz tests repeatable: they draw from one
// fixed seed unless the environment asks for a fresh one.
package seed

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// Fixed is the seed that CI uses.
const Fixed = "20261202"

// Variable is the environment variable that names another seed; make prove
// sets it.
const EnvVar = "PROVE_SEED"

// Main runs a package's tests; a TestMain calls it.
func Main(m *testing.M) {
	flag.Parse()
	value := Fixed
	if v := os.Getenv(EnvVar); v != "" {
		value = v
	}
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		if err := f.Value.Set(value); err != nil {
			fmt.Fprintln(os.Stderr, "seed:", err)
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}
