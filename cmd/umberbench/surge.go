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

// The scenarios.
const (
	scenarioSurge    = "surge"
	scenarioSlow     = "slow"
	scenarioHalf     = "half"
	scenarioGrayFail = "gray-errors"
	scenarioGraySlow = "gray-slow"
	scenarioBoth     = "surge-and-slow"
)

func scenarioNames() []string {
	return []string{scenarioSurge, scenarioSlow, scenarioHalf, scenarioGrayFail, scenarioGraySlow, scenarioBoth}
}

type surgeOptions struct {
	policies             []string
	times                []float64
	before, surge, after time.Duration
	scenario             string
	out                  string
	lastLine             bool
}

const (
	rosterSlots = 4
	rosterTime  = 80 * time.Millisecond
	// calm is the demand before and after, as a share of the capacity.
	calm = 0.7
)

// surgeServices are the Kigali services with a tenth of their slots; rosters
// is the deep one that runs out of capacity.
var surgeServices = []serviceShape{
	{"kigali/sheets", 30, 190, []string{"open=5ms:kigali/rosters/day", "preview=5ms:kigali/rosters/day*3"}},
	{"kigali/bookings", 30, 190, []string{"list=5ms:kigali/rosters/day"}},
	{"kigali/locations", 30, 190, []string{"find=5ms"}},
	{"kigali/rosters", rosterSlots, 35, []string{"day=80ms", "catering=80ms"}},
}

// surgeKind is a kind of the mix with its calls of rosters.
type surgeKind struct {
	load.RequestKind
	calls     int
	protected bool
}

var surgeKinds = []surgeKind{
	{load.RequestKind{Target: "kigali/sheets/open", ArrivalFraction: 0.08, Deadline: 4 * time.Second}, 1, true},
	{load.RequestKind{Target: "kigali/sheets/preview", ArrivalFraction: 0.22, Deadline: 2 * time.Second}, 3, false},
	{load.RequestKind{Target: "kigali/bookings/list", ArrivalFraction: 0.30, Deadline: 2 * time.Second}, 1, false},
	{load.RequestKind{Target: "kigali/rosters/catering", ArrivalFraction: 0.30, Deadline: 2 * time.Second}, 1, false},
	{load.RequestKind{Target: "kigali/locations/find", ArrivalFraction: 0.10, Deadline: 2 * time.Second}, 0, false},
}

// surgeCapacity is what rosters can serve, in calls per second.
func surgeCapacity() float64 {
	return float64(len(kigaliDomains)*rosterSlots) / rosterTime.Seconds()
}

// callsPerRequest is the mean number of rosters calls of a request.
func callsPerRequest() float64 {
	sum := 0.0
	for _, k := range surgeKinds {
		sum += k.ArrivalFraction * float64(k.calls)
	}
	return sum
}

// figures are the outcome of one run.
type figures struct {
	policy    string
	scenario  string
	times     float64
	goodput   float64
	protected float64
	calm      float64
	amplify   float64
	wasted    float64
	recovery  time.Duration
	recovered bool
	p50, p99  time.Duration
	p999      time.Duration
	refusal   time.Duration
	wrong     int
	series    []float64
}

func runSurge(bin string, o surgeOptions) error {
	var all []figures
	for _, times := range o.times {
		for _, policy := range o.policies {
			fg, err := oneSurge(bin, o, policy, times)
			if err != nil {
				return err
			}
			all = append(all, *fg)
			fmt.Printf("%s policy=%s times=%g goodput=%.2f protected=%.3f calm=%.3f amplification=%.2f wasted=%.2f recovery=%s p50=%s p99=%s p99.9=%s refusal_p99=%s wrong=%d\n",
				fg.scenario, policy, times, fg.goodput, fg.protected, fg.calm, fg.amplify, fg.wasted, fg.recoveryText(), fg.p50, fg.p99, fg.p999, fg.refusal, fg.wrong)
		}
	}
	if o.out != "" {
		if err := writeMeasurement(o, all); err != nil {
			return err
		}
	}
	if o.lastLine {
		full, base := pickPolicy(all, "full"), pickPolicy(all, "off")
		fmt.Printf("measure: goodput=%.2f baseline=%.2f recovery_s=%s baseline_recovery_s=%s amplification=%.2f wasted=%.2f\n",
			full.goodput, base.goodput, full.recoveryText(), base.recoveryText(), full.amplify, full.wasted)
	}
	return nil
}

func pickPolicy(all []figures, policy string) figures {
	for _, f := range all {
		if f.policy == policy {
			return f
		}
	}
	return figures{}
}

func (f *figures) recoveryText() string {
	if !f.recovered {
		return "never"
	}
	return fmt.Sprintf("%.1f", f.recovery.Seconds())
}

func oneSurge(bin string, o surgeOptions, policy string, times float64) (fg *figures, err error) {
	err = withFleet(bin, func(f *harness.Fleet) error {
		fg, err = surge(f, o, policy, times)
		return err
	})
	return fg, err
}

func surge(f *harness.Fleet, o surgeOptions, policy string, times float64) (*figures, error) {
	tree, err := os.ReadFile(kigaliTree)
	if err != nil {
		return nil, fault.Wrap(fault.NotFound, err, "run this from the folder of the repository")
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
	if err := awaitServed(f, kinds); err != nil {
		return nil, err
	}
	base := surgeCapacity() / callsPerRequest()
	demand := base * times
	if o.scenario != scenarioSurge && o.scenario != scenarioBoth {
		demand = base * calm
	}
	r := load.Run(load.Options{
		Addrs: f.HTTPAddrs(), Kinds: kinds, MaxResends: 8, ResendDelay: 50 * time.Millisecond,
		Phases: []load.Phase{
			{Rate: base * calm, Duration: o.before},
			{Rate: demand, Duration: o.surge, OnStart: func() { go trigger(f, o.scenario, true) }},
			{Rate: base * calm, Duration: o.after, OnStart: func() { go trigger(f, o.scenario, false) }},
		},
	})
	return evaluate(f, o, policy, times, r)
}

// trigger begins or ends what a scenario does to the stand-ins of rosters.
func trigger(f *harness.Fleet, scenario string, begin bool) {
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
	case scenarioSlow, scenarioBoth:
		set(rosters, standin.Faults{SlowdownFactor: 4})
	case scenarioGrayFail:
		set(rosters[:1], standin.Faults{FailureRate: 0.9})
	case scenarioGraySlow:
		set(rosters[:1], standin.Faults{SlowdownFactor: 10})
	case scenarioHalf:
		for _, s := range rosters[:len(rosters)/2] {
			if begin {
				s.Signal(syscall.SIGKILL)
			} else {
				_ = f.RestartServer(s)
			}
		}
	}
}

// capacityDuring is the capacity during the trigger, as a share.
func capacityDuring(scenario string) float64 {
	switch scenario {
	case scenarioSlow, scenarioBoth:
		return 0.25
	case scenarioHalf:
		return 0.5
	case scenarioGrayFail:
		return 0.75
	case scenarioGraySlow:
		return 0.775
	default:
		return 1
	}
}

const seriesStep = 250 * time.Millisecond

// tally counts what became of the requests before and during the trigger.
type tally struct {
	useful, demanded       float64
	protected, protectedOK int
	calm, calmOK           int
}

// add counts one request, by when it was due. The first second of the trigger
// is counted too: it is part of the bill.
func (t *tally) add(out *load.Outcome, from, to time.Duration) {
	k := surgeKinds[out.Kind]
	ok := 0
	if out.OK {
		ok = 1
	}
	switch {
	case out.ScheduledAt < from:
		t.calm++
		t.calmOK += ok
	case out.ScheduledAt < to:
		t.demanded += float64(k.calls)
		t.useful += float64(ok * k.calls)
		if k.protected {
			t.protected++
			t.protectedOK += ok
		}
	}
}

func share(part, of int) float64 { return float64(part) / float64(max(1, of)) }

func evaluate(f *harness.Fleet, o surgeOptions, policy string, times float64, r *load.Result) (*figures, error) {
	fg := &figures{policy: policy, scenario: o.scenario, times: times}
	from, to := o.before, o.before+o.surge
	var t tally
	for i := range r.Outcomes {
		t.add(&r.Outcomes[i], from, to)
		if r.Outcomes[i].ResponseMismatch {
			fg.wrong++
		}
	}
	capacity := surgeCapacity() * capacityDuring(o.scenario) * o.surge.Seconds()
	fg.goodput = t.useful / min(capacity, t.demanded)
	fg.calm = share(t.calmOK, t.calm)
	fg.protected = share(t.protectedOK, t.protected)
	if err := fg.account(f, r); err != nil {
		return nil, err
	}
	fg.series = series(r)
	fg.recover(r, to)
	h := r.LatencyHistogram(-1, from, to)
	fg.p50 = time.Duration(h.ValueAtQuantile(50)) * time.Microsecond
	fg.p99 = time.Duration(h.ValueAtQuantile(99)) * time.Microsecond
	fg.p999 = time.Duration(h.ValueAtQuantile(99.9)) * time.Microsecond
	fg.refusal = refusalTime(r)
	return fg, nil
}

// account works out the wasted work and the retries that the fleet added.
func (fg *figures) account(f *harness.Fleet, r *load.Result) error {
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
		fg.wasted = wasted / total
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
	fg.amplify = 1 + float64(retries)/float64(max(1, calls))
	return nil
}

// series is the useful rosters calls per second over time, by due time.
func series(r *load.Result) []float64 {
	var out []float64
	for _, o := range r.Outcomes {
		at := int(o.ScheduledAt / seriesStep)
		for len(out) <= at {
			out = append(out, 0)
		}
		if o.OK {
			out[at] += float64(surgeKinds[o.Kind].calls) / seriesStep.Seconds()
		}
	}
	return out
}

// recover finds when the share of served requests is back at 95% and stays.
func (fg *figures) recover(r *load.Result, end time.Duration) {
	type bin struct{ due, ok int }
	bins := map[int]*bin{}
	last := 0
	for _, o := range r.Outcomes {
		if o.ScheduledAt < end {
			continue
		}
		at := int((o.ScheduledAt - end) / seriesStep)
		if bins[at] == nil {
			bins[at] = &bin{}
		}
		bins[at].due++
		if o.OK {
			bins[at].ok++
		}
		last = max(last, at)
	}
	// The tail of the window must be good over half a second each.
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
	fg.recovery = time.Duration(recovered) * seriesStep
	fg.recovered = recovered <= last-3
}

// refusalTime is the p99 of the time until a refusal.
func refusalTime(r *load.Result) time.Duration {
	h := (&load.Result{}).LatencyHistogram(-1, 0, 0)
	for _, o := range r.Outcomes {
		if !o.OK && o.Status == 503 {
			_ = h.RecordValue(max(1, o.LastAttemptLatency.Microseconds()))
		}
	}
	return time.Duration(h.ValueAtQuantile(99)) * time.Microsecond
}

// writeMeasurement writes the table and a plot of goodput over time.
func writeMeasurement(o surgeOptions, all []figures) error {
	if err := os.MkdirAll(o.out, 0o755); err != nil {
		return fault.Wrap(fault.Internal, err, "cannot make the folder")
	}
	f, err := os.Create(filepath.Join(o.out, o.scenario+".txt"))
	if err != nil {
		return fault.Wrap(fault.Internal, err, "cannot write the table")
	}
	w := tabwriter.NewWriter(f, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "SCENARIO\tTIMES\tPOLICY\tGOODPUT\tPROTECTED SERVED\tAMPLIFICATION\tWASTED\tRECOVERY S\tP50\tP99\tP99.9\tREFUSAL P99")
	for _, fg := range all {
		_, _ = fmt.Fprintf(w, "%s\t%g\t%s\t%.2f\t%.3f\t%.2f\t%.2f\t%s\t%s\t%s\t%s\t%s\n", fg.scenario, fg.times, fg.policy, fg.goodput,
			fg.protected, fg.amplify, fg.wasted, fg.recoveryText(), fg.p50, fg.p99, fg.p999, fg.refusal)
	}
	if err := w.Flush(); err != nil {
		return fault.Wrap(fault.Internal, err, "cannot write the table")
	}
	if err := f.Close(); err != nil {
		return fault.Wrap(fault.Internal, err, "cannot write the table")
	}
	return plotSeries(filepath.Join(o.out, o.scenario+".svg"), o, all)
}
