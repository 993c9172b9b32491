// Umberload is an open-loop load generator for nodes; it prints a summary of the
// outcomes.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/umberthread/umberthread/internal/load"
)

func main() {
	app := kingpin.New("umberload", "Send requests at a fixed rate, regardless of their outcomes; latency counts from when a request was due.")
	entries := app.Flag("entry", "HTTP address of a node. Repeat for more.").Required().Strings()
	targets := app.Flag("target", "fleet/service/kind. Repeat for an even mix.").Required().Strings()
	rate := app.Flag("rate", "Requests per second.").Default("100").Float64()
	duration := app.Flag("for", "How long to send.").Default("10s").Duration()
	deadline := app.Flag("deadline", "How long a caller waits.").Default("2s").Duration()
	body := app.Flag("body", "Bytes in each request.").Default("500").Int()
	resends := app.Flag("resends", "How often a caller sends a failed request again.").Default("0").Int()
	pause := app.Flag("pause", "Time before a resend.").Default("100ms").Duration()
	polite := app.Flag("polite", "Wait before a resend as long as the refusal's Retry-After says.").Bool()
	keyed := app.Flag("keyed", "Give each request an Idempotency-Key.").Bool()
	workspaceKeys := app.Flag("workspace-key", "Key of a workspace. Repeat for an even mix.").Envar("UMBERLOAD_WORKSPACE_KEYS").Strings()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	o := load.Options{Addrs: *entries, MaxResends: *resends, ResendDelay: *pause, HonorRetryAfter: *polite, WorkspaceKeys: *workspaceKeys}
	for _, t := range *targets {
		o.Kinds = append(o.Kinds, load.RequestKind{Target: t, ArrivalFraction: 1 / float64(len(*targets)), Deadline: *deadline, BodyBytes: *body, Keyed: *keyed})
	}
	o.Phases = []load.Phase{{Rate: *rate, Duration: *duration}}
	printResult(load.Run(o))
}

// printResult prints the number served, latency percentiles, and failures by
// reason.
func printResult(r *load.Result) {
	served := 0
	reasons := map[string]int{}
	for _, o := range r.Outcomes {
		if o.OK {
			served++
		} else {
			reasons[o.Reason]++
		}
	}
	h := r.LatencyHistogram(-1, 0, time.Hour)
	percentile := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	fmt.Printf("sent=%d served=%d p50=%s p99=%s p99.9=%s\n", len(r.Outcomes), served, percentile(50), percentile(99), percentile(99.9))
	for reason, n := range reasons {
		fmt.Printf("  %s: %d\n", reason, n)
	}
}
