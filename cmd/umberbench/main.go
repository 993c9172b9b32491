// Umberbench runs fleets of processes on one machine for demonstrations and
// measurements.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/alecthomas/kingpin/v2"

	"github.com/umberthread/umberthread/fault"
)

func main() {
	app := kingpin.New("umberbench", "Run fleets of node and stand-in processes on this machine: a demonstration, and the measurements of docs/measurements.")
	bin := app.Flag("bin", "Folder of the commands; by default that of this one.").String()
	runs := map[string]func() error{}

	demo := app.Command("demo", "Start a small Kigali fleet and send requests of every kind through its chains of services.")
	runs[demo.FullCommand()] = func() error { return runDemo(*bin) }

	hold := app.Command("hold", "Start the fleet of the demonstration and keep it until interrupted.")
	runs[hold.FullCommand()] = func() error { return runHold(*bin) }

	surge := app.Command("surge", "Run a surge under several policies and print the outcomes of the requests.")
	var so surgeOptions
	surge.Flag("policy", "Policies to run: full, static, off. Repeat for more.").Default("full", "off").EnumsVar(&so.policies, "full", "static", "off")
	surge.Flag("times", "Demand during the surge, in times of the capacity. Repeat for more.").Default("3").Float64ListVar(&so.demandFactors)
	surge.Flag("before", "How long before the surge, at 0.7 of the capacity.").Default("4s").DurationVar(&so.baselineDuration)
	surge.Flag("for", "How long the surge lasts.").Default("10s").DurationVar(&so.surgeDuration)
	surge.Flag("after", "How long to watch the recovery, at 0.7 of the capacity.").Default("15s").DurationVar(&so.recoveryDuration)
	surge.Flag("scenario", "What happens during the surge time.").Default(scenarioSurge).EnumVar(&so.scenario, scenarioNames()...)
	surge.Flag("out", "Folder for the table and the plots.").StringVar(&so.outputDir)
	surge.Flag("last-line", "Print the summary line of make measure-quick.").BoolVar(&so.printSummary)
	runs[surge.FullCommand()] = func() error { return runSurge(*bin, so) }

	hop := app.Command("hop", "The time that two nodes on the way add to a call, against calling the backend server directly.")
	var ho hopOptions
	hop.Flag("rate", "Calls per second.").Default("2000").Float64Var(&ho.callRate)
	hop.Flag("for", "How long each run lasts.").Default("8s").DurationVar(&ho.runDuration)
	hop.Flag("rounds", "Runs of each, in turn.").Default("3").IntVar(&ho.rounds)
	runs[hop.FullCommand()] = func() error { return runHop(*bin, ho) }

	scale := app.Command("scale", "What a quiet fleet costs a node, and how fast settings spread, against the number of nodes.")
	var sc scaleOptions
	scale.Flag("size", "Number of nodes. Repeat for more.").Default("8", "16", "32", "64", "128").IntsVar(&sc.sizes)
	scale.Flag("settle", "How long to wait after the start.").Default("20s").DurationVar(&sc.settleDuration)
	scale.Flag("for", "How long to watch.").Default("15s").DurationVar(&sc.observationDuration)
	runs[scale.FullCommand()] = func() error { return runScale(*bin, sc) }

	commit := app.Command("commit", "Latency of settings changes and keyed requests with real syncs, on three replicas.")
	var co commitOptions
	commit.Flag("changes", "Changes to make.").Default("500").IntVar(&co.changeCount)
	commit.Flag("rate", "Requests per second, half of them keyed.").Default("1600").Float64Var(&co.requestRate)
	commit.Flag("for", "How long each rate lasts.").Default("8s").DurationVar(&co.runDuration)
	runs[commit.FullCommand()] = func() error { return runCommit(*bin, co) }

	prove := app.Command("prove", "Run the stateful fuzz tests with fresh seeds; needs the Go toolchain.")
	proveTime := prove.Flag("time", "How long to go on.").Default("30s").Duration()
	runs[prove.FullCommand()] = func() error { return runProve(*proveTime) }

	soaks := app.Command("soak", "Disturb fleets of real processes by plans that follow from seeds, and check the promises of docs/PROOFS.md.")
	var sk soakOptions
	soaks.Flag("seed", "First seed; 0 draws one.").Uint64Var(&sk.firstSeed)
	soaks.Flag("seeds", "How many seeds to play.").Default("1").IntVar(&sk.seedCount)
	soaks.Flag("jobs", "How many to play at once.").Default("1").IntVar(&sk.jobs)
	soaks.Flag("for", "How long faults are injected in each.").Default("20s").DurationVar(&sk.faultDuration)
	soaks.Flag("nodes", "Number of nodes of each fleet, at least 6.").Default("6").IntVar(&sk.nodes)
	soaks.Flag("rate", "Requests per second to each fleet.").Default("120").IntVar(&sk.requestRate)
	soaks.Flag("limits", "Let backend servers limit the rate of their requests, and leave.").BoolVar(&sk.limits)
	soaks.Flag("stops", "Play planned work alone: stops in series that overlap, while backend servers are slow now and then.").BoolVar(&sk.stops)
	soaks.Flag("stray", "Let backend servers reject requests, and send responses that nobody asked for.").BoolVar(&sk.stray)
	soaks.Flag("stalls", "Let the disks of replicas stall too, for 0.5 to 3.5 s at a time.").BoolVar(&sk.stalls)
	soaks.Flag("refuse-writes", "Let the disks of replicas refuse writes, for 0.5 to 4 s at a time, and at the end lose another disk after that.").BoolVar(&sk.refuseWrites)
	soaks.Flag("last-fault", "At the end lose a disk while all other nodes are killed.").BoolVar(&sk.lastFault)
	soaks.Flag("poison", "Send a request that terminates backend servers after the fleet has recovered.").BoolVar(&sk.poison)
	soaks.Flag("failed", "Play the runs that once broke a promise, in place of the seeds.").BoolVar(&sk.replayFailures)
	soaks.Flag("json", "File for the reports as JSON, durations in nanoseconds.").StringVar(&sk.reportFile)
	runs[soaks.FullCommand()] = func() error { return runSoak(*bin, sk) }

	studies := app.Command("study", "A failure domain of each size in virtual time: time to notice a loss, false suspicions, bytes, time until settings are in force.")
	var st studyOptions
	studies.Flag("size", "Number of members. Repeat for more.").Default("32", "128", "512", "1091").IntsVar(&st.sizes)
	studies.Flag("seed", "Seed of all choices.").Default("1").Uint64Var(&st.seed)
	studies.Flag("loss", "Share of datagrams that is lost.").Default("0.01").Float64Var(&st.lossRate)
	studies.Flag("out", "Folder for the plot.").StringVar(&st.plotDir)
	runs[studies.FullCommand()] = func() error { return runStudy(st) }

	models := app.Command("model", "Simulate a whole fleet under load in virtual time and print the share of the requests' worth that is earned.")
	var mo modelOptions
	models.Flag("load", "Load to play, all if none is named. Repeat for more.").EnumsVar(&mo.loads, loadNames()...)
	models.Flag("seeds", "How many times each is played.").Default("5").IntVar(&mo.seedCount)
	runs[models.FullCommand()] = func() error { return runModel(mo) }

	name := kingpin.MustParse(app.Parse(os.Args[1:]))
	if *bin == "" {
		self, err := os.Executable()
		if err == nil {
			*bin = filepath.Dir(self)
		}
	}
	if err := runs[name](); err != nil {
		fmt.Fprintln(os.Stderr, "umberbench:", err)
		os.Exit(fault.CodeOf(err).ExitCode())
	}
}
