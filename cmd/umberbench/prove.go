package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/seed"
)

// propertyTestPackages are the packages with stateful property-based tests.
var propertyTestPackages = []string{"./raft", "./confstore", "./claims", "./budget", "./admission", "./gossip", "./route", "./settings"}

// casesPerTest is the number of cases that each test runs for one seed.
const casesPerTest = 400

// passedCasesPattern matches the number of cases in the output of a passed test.
var passedCasesPattern = regexp.MustCompile(`passed (\d+) tests`)

// runProve runs the stateful tests with fresh seeds until the span has passed or
// a test fails.
func runProve(span time.Duration) error {
	deadline := time.Now().Add(span)
	cases, seeds := 0, 0
	for time.Now().Before(deadline) {
		s := rand.Uint64N(1 << 62)
		seeds++
		n, out, err := runPropertyTests(s)
		cases += n
		fmt.Printf("seed %d: %d cases\n", s, n)
		if err != nil {
			fmt.Println(out)
			return fault.Newf(fault.Internal, "seed %d fails; repeat with %s=%d go test %s", s, seed.EnvVar, s, strings.Join(propertyTestPackages, " "))
		}
	}
	fmt.Printf("prove: seeds=%d cases=%d failures=0\n", seeds, cases)
	return nil
}

// runPropertyTests runs the stateful tests with one seed and returns the number of
// cases passed and the output.
func runPropertyTests(s uint64) (int, string, error) {
	args := append([]string{"test", "-count=1", "-v"}, propertyTestPackages...)
	args = append(args, "-rapid.checks="+strconv.Itoa(casesPerTest), "-rapid.nofailfile")
	cmd := exec.Command("go", args...)
	cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%d", seed.EnvVar, s))
	out, err := cmd.CombinedOutput()
	n := 0
	for _, m := range passedCasesPattern.FindAllStringSubmatch(string(out), -1) {
		if v, aerr := strconv.Atoi(m[1]); aerr == nil {
			n += v
		}
	}
	return n, string(out), err
}
