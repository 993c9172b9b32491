package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/harness"
	"github.com/umberthread/umberthread/internal/load"
	"github.com/umberthread/umberthread/internal/standin"
	"github.com/umberthread/umberthread/settings"
)

// Values of the scenario flag.
const (
	scenarioSurge        = "surge"
	scenarioSlow         = "slow"
	scenarioHalfKilled   = "half"
	scenarioGrayFail     = "gray-errors"
	scenarioGraySlow     = "gray-slow"
	scenarioSurgeAndSlow = "surge-and-slow"
)

// scenarioNames returns the values of the scenario flag.
func scenarioNames() []string {
	return []string{scenarioSurge, scenarioSlow, scenarioHalfKilled, scenarioGrayFail, scenarioGraySlow, scenarioSurgeAndSlow}
}

// surgeOptions are the flags of the surge command.
type surgeOptions struct {
	policies                                          []string
	demandFactors                                     []float64
	baselineDuration, surgeDuration, recoveryDuration time.Duration
	scenario                                          string
	outputDir                                         string
	printSummary                                      bool
}

const (
	rostersSlots       = 4
	rostersServiceTime = 80 * time.Millisecond
	// baselineLoad is the demand before and after the surge, as a share of capacity.
	baselineLoad = 0.7
)

// surgeServices are the Kigali services with a tenth of their slots. rosters, at
// the end of the call chains, is the one that runs out of capacity.
var surgeServices = []serviceSpec{
	{"kigali/sheets", 30, 190, []string{"open=5ms:kigali/rosters/day", "preview=5ms:kigali/rosters/day*3"}},
	{"kigali/bookings", 30, 190, []string{"list=5ms:kigali/rosters/day"}},
	{"kigali/locations", 30, 190, []string{"find=5ms"}},
	{"kigali/rosters", rostersSlots, 35, []string{"day=80ms", "catering=80ms"}},
}

// surgeKind is a request kind with the number of rosters calls of each request.
type surgeKind struct {
	load.RequestKind
	rostersCalls int
	protected    bool
}

// surgeKinds is the request mix of the surge.
var surgeKinds = []surgeKind{
	{load.RequestKind{Target: "kigali/sheets/open", ArrivalFraction: 0.08, Deadline: 4 * time.Second}, 1, true},
	{load.RequestKind{Target: "kigali/sheets/preview", ArrivalFraction: 0.22, Deadline: 2 * time.Second}, 3, false},
	{load.RequestKind{Target: "kigali/bookings/list", ArrivalFraction: 0.30, Deadline: 2 * time.Second}, 1, false},
	{load.RequestKind{Target: "kigali/rosters/catering", ArrivalFraction: 0.30, Deadline: 2 * time.Second}, 1, false},
	{load.RequestKind{Target: "kigali/locations/find", ArrivalFraction: 0.10, Deadline: 2 * time.Second}, 0, false},
}

// rostersCapacity returns the calls per second that the rosters service can serve.
func rostersCapacity() float64 {
	return float64(len(kigaliDomains)*rostersSlots) / rostersServiceTime.Seconds()
}

// rostersCallsPerRequest returns the mean number of rosters calls of a request.
func rostersCallsPerRequest() float64 {
	sum := 0.0
	for _, k := range surgeKinds {
		sum += k.ArrivalFraction * float64(k.rostersCalls)
	}
	return sum
}

// surgeResult holds the measured values of one run. Goodput is the ratio of useful
// rosters calls to the lower of capacity and demand. Amplification counts the
// retries by nodes, not the resends by callers.
type surgeResult struct {
	policy          string
	scenario        string
	demandFactor    float64
	goodput         float64
	protectedServed float64
	baselineServed  float64
	amplification   float64
	wastedShare     float64
	recovery        time.Duration
	recovered       bool
	p50, p99        time.Duration
	p999            time.Duration
	refusalP99      time.Duration
	wrongResponses  int
	usefulCallRates []float64
}

// runSurge runs every combination of demand factor and policy and prints the
// results.
func runSurge(bin string, o surgeOptions) error {
	var all []surgeResult
	for _, demandFactor := range o.demandFactors {
		for _, policy := range o.policies {
			res, err := runSurgeOnce(bin, o, policy, demandFactor)
			if err != nil {
				return err
			}
			all = append(all, *res)
			fmt.Printf("%s policy=%s times=%g goodput=%.2f protected=%.3f calm=%.3f amplification=%.2f wasted=%.2f recovery=%s p50=%s p99=%s p99.9=%s refusal_p99=%s wrong=%d\n",
				res.scenario, policy, demandFactor, res.goodput, res.protectedServed, res.baselineServed, res.amplification, res.wastedShare, res.recoveryText(), res.p50, res.p99, res.p999, res.refusalP99, res.wrongResponses)
		}
	}
	if o.outputDir != "" {
		if err := writeMeasurement(o, all); err != nil {
			return err
		}
	}
	if o.printSummary {
		full, base := resultForPolicy(all, "full"), resultForPolicy(all, "off")
		fmt.Printf("measure: goodput=%.2f baseline=%.2f recovery_s=%s baseline_recovery_s=%s amplification=%.2f wasted=%.2f\n",
			full.goodput, base.goodput, full.recoveryText(), base.recoveryText(), full.amplification, full.wastedShare)
	}
	return nil
}

// resultForPolicy returns the first result with the policy, or a zero result.
func resultForPolicy(all []surgeResult, policy string) surgeResult {
	for _, f := range all {
		if f.policy == policy {
			return f
		}
	}
	return surgeResult{}
}

// recoveryText formats the recovery time in seconds, or returns "never".
func (res *surgeResult) recoveryText() string {
	if !res.recovered {
		return "never"
	}
	return fmt.Sprintf("%.1f", res.recovery.Seconds())
}

// runSurgeOnce measures one policy and demand factor on a fleet of its own.
func runSurgeOnce(bin string, o surgeOptions, policy string, demandFactor float64) (res *surgeResult, err error) {
	err = withFleet(bin, func(f *harness.Fleet) error {
		res, err = measureSurge(f, o, policy, demandFactor)
		return err
	})
	return res, err
}

// measureSurge starts the services, sends the load of the scenario and evaluates
// the outcomes.
func measureSurge(f *harness.Fleet, o surgeOptions, policy string, demandFactor float64) (*surgeResult, error) {
	tree, err := os.ReadFile(kigaliSettingsFile)
	if err != nil {
		return nil, fault.Wrap(fault.NotFound, err, "run this command from the root of the repository")
	}
	if err := startFleet(f, kigaliDomains, surgeServices, func(int, int) bool { return true }); err != nil {
		return nil, err
	}
	if _, err := f.ApplySettings(f.Nodes[0], string(tree), settings.Entries{"kigali#policy": policy}); err != nil {
		return nil, err
	}
	var kinds []load.RequestKind
	for _, k := range surgeKinds {
		kinds = append(kinds, k.RequestKind)
	}
	if err := awaitKindsServed(f, kinds); err != nil {
		return nil, err
	}
	base := rostersCapacity() / rostersCallsPerRequest()
	demand := base * demandFactor
	if o.scenario != scenarioSurge && o.scenario != scenarioSurgeAndSlow {
		demand = base * baselineLoad
	}
	r := load.Run(load.Options{
		Addrs: f.HTTPAddrs(), Kinds: kinds, MaxResends: 8, ResendDelay: 50 * time.Millisecond,
		Phases: []load.Phase{
			{Rate: base * baselineLoad, Duration: o.baselineDuration},
			{Rate: demand, Duration: o.surgeDuration, OnStart: func() { go applyScenario(f, o.scenario, true) }},
			{Rate: base * baselineLoad, Duration: o.recoveryDuration, OnStart: func() { go applyScenario(f, o.scenario, false) }},
		},
	})
	return evaluateRun(f, o, policy, demandFactor, r)
}

// applyScenario starts or ends the scenario's faults at the rosters stand-ins.
func applyScenario(f *harness.Fleet, scenario string, begin bool) {
	var rosters []*harness.Server
	for _, s := range f.Servers {
		if s.Service == "kigali/rosters" {
			rosters = append(rosters, s)
		}
	}
	set := func(servers []*harness.Server, on standin.Faults) {
		for _, s := range servers {
			if !begin {
				on = standin.Faults{}
			}
			_ = s.SetFaults(on)
		}
	}
	switch scenario {
	case scenarioSlow, scenarioSurgeAndSlow:
		set(rosters, standin.Faults{SlowdownFactor: 4})
	case scenarioGrayFail:
		set(rosters[:1], standin.Faults{FailureRate: 0.9})
	case scenarioGraySlow:
		set(rosters[:1], standin.Faults{SlowdownFactor: 10})
	case scenarioHalfKilled:
		for _, s := range rosters[:len(rosters)/2] {
			if begin {
				s.Signal(syscall.SIGKILL)
			} else {
				_ = f.RestartServer(s)
			}
		}
	}
}

// capacityShare returns the share of the rosters capacity that remains under a
// scenario's faults.
func capacityShare(scenario string) float64 {
	switch scenario {
	case scenarioSlow, scenarioSurgeAndSlow:
		return 0.25
	case scenarioHalfKilled:
		return 0.5
	case scenarioGrayFail:
		return 0.75
	case scenarioGraySlow:
		return 0.775
	default:
		return 1
	}
}

// rateInterval is the width of the intervals of usefulCallRates and recovery.
const rateInterval = 250 * time.Millisecond

// requestCounts counts requests before and during the surge, and those served.
type requestCounts struct {
	usefulCalls, demandedCalls      float64
	protectedTotal, protectedServed int
	baselineTotal, baselineServed   int
}

// add counts one request by its due time; from and to bound the surge.
func (t *requestCounts) add(out *load.Outcome, from, to time.Duration) {
	k := surgeKinds[out.Kind]
	ok := 0
	if out.OK {
		ok = 1
	}
	switch {
	case out.ScheduledAt < from:
		t.baselineTotal++
		t.baselineServed += ok
	case out.ScheduledAt < to:
		t.demandedCalls += float64(k.rostersCalls)
		t.usefulCalls += float64(ok * k.rostersCalls)
		if k.protected {
			t.protectedTotal++
			t.protectedServed += ok
		}
	}
}

// ratio returns part/of, taking of as at least 1.
func ratio(part, of int) float64 { return float64(part) / float64(max(1, of)) }

// evaluateRun computes the result of a run from its outcomes and the fleet's
// counters.
func evaluateRun(f *harness.Fleet, o surgeOptions, policy string, demandFactor float64, r *load.Result) (*surgeResult, error) {
	res := &surgeResult{policy: policy, scenario: o.scenario, demandFactor: demandFactor}
	from, to := o.baselineDuration, o.baselineDuration+o.surgeDuration
	var t requestCounts
	for i := range r.Outcomes {
		t.add(&r.Outcomes[i], from, to)
		if r.Outcomes[i].ResponseMismatch {
			res.wrongResponses++
		}
	}
	capacity := rostersCapacity() * capacityShare(o.scenario) * o.surgeDuration.Seconds()
	res.goodput = t.usefulCalls / min(capacity, t.demandedCalls)
	res.baselineServed = ratio(t.baselineServed, t.baselineTotal)
	res.protectedServed = ratio(t.protectedServed, t.protectedTotal)
	if err := res.measureWorkAndRetries(f, r); err != nil {
		return nil, err
	}
	res.usefulCallRates = usefulCallRates(r)
	res.measureRecovery(r, to)
	h := r.LatencyHistogram(-1, from, to)
	res.p50 = time.Duration(h.ValueAtQuantile(50)) * time.Microsecond
	res.p99 = time.Duration(h.ValueAtQuantile(99)) * time.Microsecond
	res.p999 = time.Duration(h.ValueAtQuantile(99.9)) * time.Microsecond
	res.refusalP99 = refusalP99(r)
	return res, nil
}

// measureWorkAndRetries sets the share of backend server work spent on requests
// that failed, and the amplification by the nodes' retries. The work of servers
// that have exited is left out.
func (res *surgeResult) measureWorkAndRetries(f *harness.Fleet, r *load.Result) error {
	ok := map[string]bool{}
	for _, out := range r.Outcomes {
		ok[out.ID] = out.OK
	}
	var total, wasted float64
	for _, s := range f.Servers {
		if s.WaitExit(0) {
			continue
		}
		work, err := s.RequestStats()
		if err != nil {
			return err
		}
		for id, w := range work {
			if _, counted := ok[id]; !counted {
				continue
			}
			total += float64(w.ServiceMicroseconds)
			if !ok[id] {
				wasted += float64(w.ServiceMicroseconds)
			}
		}
	}
	if total > 0 {
		res.wastedShare = wasted / total
	}
	var calls, retries int64
	for _, n := range f.Nodes {
		st, err := n.Status()
		if err != nil {
			return err
		}
		calls += st.Calls
		retries += st.Retries
	}
	res.amplification = 1 + float64(retries)/float64(max(1, calls))
	return nil
}

// usefulCallRates returns the useful rosters calls per second in each interval,
// by due time.
func usefulCallRates(r *load.Result) []float64 {
	var out []float64
	for _, o := range r.Outcomes {
		at := int(o.ScheduledAt / rateInterval)
		for len(out) <= at {
			out = append(out, 0)
		}
		if o.OK {
			out[at] += float64(surgeKinds[o.Kind].rostersCalls) / rateInterval.Seconds()
		}
	}
	return out
}

// measureRecovery sets the time after end from which at least 95% of the requests
// are served until the end of the run, and whether that is at least three
// intervals before the last.
func (res *surgeResult) measureRecovery(r *load.Result, end time.Duration) {
	type bin struct{ due, ok int }
	bins := map[int]*bin{}
	last := 0
	for _, o := range r.Outcomes {
		if o.ScheduledAt < end {
			continue
		}
		at := int((o.ScheduledAt - end) / rateInterval)
		if bins[at] == nil {
			bins[at] = &bin{}
		}
		bins[at].due++
		if o.OK {
			bins[at].ok++
		}
		last = max(last, at)
	}
	// Search backwards for the last window of two intervals with less than 95% served.
	recovered := last + 1
	for at := last; at >= 0; at-- {
		due, ok := 0, 0
		for i := at; i < at+2; i++ {
			if b := bins[i]; b != nil {
				due += b.due
				ok += b.ok
			}
		}
		if due > 0 && float64(ok) < 0.95*float64(due) {
			break
		}
		recovered = at
	}
	res.recovery = time.Duration(recovered) * rateInterval
	res.recovered = recovered <= last-3
}

// refusalP99 returns the p99 latency of the refusals.
func refusalP99(r *load.Result) time.Duration {
	h := (&load.Result{}).LatencyHistogram(-1, 0, 0)
	for _, o := range r.Outcomes {
		if !o.OK && o.Status == 503 {
			_ = h.RecordValue(max(1, o.LastAttemptLatency.Microseconds()))
		}
	}
	return time.Duration(h.ValueAtQuantile(99)) * time.Microsecond
}

// writeMeasurement writes the table and a plot of useful calls over time.
func writeMeasurement(o surgeOptions, all []surgeResult) error {
	if err := os.MkdirAll(o.outputDir, 0o755); err != nil {
		return fault.Wrap(fault.Internal, err, "cannot create the output folder")
	}
	f, err := os.Create(filepath.Join(o.outputDir, o.scenario+".txt"))
	if err != nil {
		return fault.Wrap(fault.Internal, err, "cannot write the table")
	}
	w := tabwriter.NewWriter(f, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "SCENARIO\tTIMES\tPOLICY\tGOODPUT\tPROTECTED SERVED\tAMPLIFICATION\tWASTED\tRECOVERY S\tP50\tP99\tP99.9\tREFUSAL P99")
	for _, res := range all {
		_, _ = fmt.Fprintf(w, "%s\t%g\t%s\t%.2f\t%.3f\t%.2f\t%.2f\t%s\t%s\t%s\t%s\t%s\n", res.scenario, res.demandFactor, res.policy, res.goodput,
			res.protectedServed, res.amplification, res.wastedShare, res.recoveryText(), res.p50, res.p99, res.p999, res.refusalP99)
	}
	if err := w.Flush(); err != nil {
		return fault.Wrap(fault.Internal, err, "cannot write the table")
	}
	if err := f.Close(); err != nil {
		return fault.Wrap(fault.Internal, err, "cannot write the table")
	}
	return plotUsefulCalls(filepath.Join(o.outputDir, o.scenario+".svg"), o, all)
}
