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

// provePackages are the pure packages with stateful fuzz tests.
var provePackages = []string{"./raft", "./confstore", "./claims", "./budget", "./admission", "./gossip", "./route", "./settings"}

// proveChecks is how many cases each test runs for one seed.
const proveChecks = 400

var passed = regexp.MustCompile(`passed (\d+) tests`)

// runProve runs the stateful fuzz tests with fresh seeds for as long as asked.
func runProve(span time.Duration) error {
	deadline := time.Now().Add(span)
	cases, seeds := 0, 0
	for time.Now().Before(deadline) {
		s := rand.Uint64N(1 << 62)
		seeds++
		n, out, err := proveSeed(s)
		cases += n
		fmt.Printf("seed %d: %d cases\n", s, n)
		if err != nil {
			fmt.Println(out)
			return fault.Newf(fault.Internal, "seed %d fails; repeat with %s=%d go test %s", s, seed.EnvVar, s, strings.Join(provePackages, " "))
		}
	}
	fmt.Printf("prove: seeds=%d cases=%d failures=0\n", seeds, cases)
	return nil
}

func proveSeed(s uint64) (int, string, error) {
	args := append([]string{"test", "-count=1", "-v"}, provePackages...)
	args = append(args, "-rapid.checks="+strconv.Itoa(proveChecks), "-rapid.nofailfile")
	cmd := exec.Command("go", args...)
	cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%d", seed.EnvVar, s))
	out, err := cmd.CombinedOutput()
	n := 0
	for _, m := range passed.FindAllStringSubmatch(string(out), -1) {
		if v, aerr := strconv.Atoi(m[1]); aerr == nil {
			n += v
		}
	}
	return n, string(out), err
}
