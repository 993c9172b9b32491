// Package seed makes property-based tests reproducible: it sets a fixed seed for
// package rapid unless an environment variable gives another.
package seed

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// Fixed is the default seed; CI uses it.
const Fixed = "20261202"

// EnvVar is the environment variable that overrides the seed. "make prove" sets
// it.
const EnvVar = "PROVE_SEED"

// Main sets the seed, unless the flag -rapid.seed gives one, runs the tests and
// exits the process. It is called by TestMain.
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
