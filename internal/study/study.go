package study

import (
	"slices"
	"time"
)

// Options configures a simulation.
type Options struct {
	// Members is the number of processes in the failure domain.
	Members int
	// Seed determines all random choices.
	Seed uint64
	// Loss is the fraction of datagrams lost.
	Loss float64
	// Progress is called with the name of each phase at its start, if not nil.
	Progress func(what string)
}

// Distribution summarizes measured durations.
type Distribution struct{ Median, P99, Max time.Duration }

// Result holds the measurements of a simulation.
type Result struct {
	Members int
	// SettleTime is the time after a simultaneous start of all members until the
	// gossip about it ends.
	SettleTime time.Duration
	// IdleBytesPerSecond and RestartBytesPerSecond are the datagram bytes that a
	// member sends per second without events and with a restart every ten seconds.
	IdleBytesPerSecond, RestartBytesPerSecond float64
	// FalseSuspicionsPerHour is how often per hour a member suspects a given running
	// one, FalseDeathsPerHour how often it considers it dead.
	FalseSuspicionsPerHour, FalseDeathsPerHour float64
	// DetectionTime is the time from the loss of a process until a member considers
	// it dead, over all members and losses; FullDetectionTime until the last one does.
	DetectionTime, FullDetectionTime Distribution
	// SettingsPropagationTime is the time from a settings change at one member until
	// all members have applied it.
	SettingsPropagationTime Distribution
}

const (
	idleDuration = 60 * time.Second
	lossCount    = 10
	lossInterval = 15 * time.Second
	changeCount  = 20
	// changeInterval is longer than the propagation of a change.
	changeInterval  = 3 * time.Second
	restartCount    = 10
	restartInterval = 10 * time.Second
	// settleTimeout bounds the settle time.
	settleTimeout = 20 * time.Minute
	// The domain is settled once a member sends at most settledBytesPerSecond, pings
	// and acks without records, over a settlePollInterval.
	settlePollInterval    = 5 * time.Second
	settledBytesPerSecond = 300
)

// Run simulates a failure domain and returns the measurements.
func Run(o Options) Result {
	if o.Progress == nil {
		o.Progress = func(string) {}
	}
	f := Result{Members: o.Members}
	o.Progress("start")
	d := newDomain(o)
	for d.now < settleTimeout && d.measureSendRate(settlePollInterval) > settledBytesPerSecond {
	}
	f.SettleTime = d.now
	o.Progress("quiet")
	d.falseSuspicions, d.falseDeaths = 0, 0
	f.IdleBytesPerSecond = d.measureSendRate(idleDuration)
	pairHours := idleDuration.Hours() * float64(o.Members) * float64(o.Members)
	f.FalseSuspicionsPerHour = float64(d.falseSuspicions) / pairHours
	f.FalseDeathsPerHour = float64(d.falseDeaths) / pairHours
	o.Progress("changes")
	f.SettingsPropagationTime = d.measureChanges()
	o.Progress("restarts")
	f.RestartBytesPerSecond = d.measureRestarts()
	o.Progress("losses")
	f.DetectionTime, f.FullDetectionTime = d.measureLosses()
	return f
}

// measureSendRate advances the simulation and returns the mean bytes that a member
// sent per second.
func (d *domain) measureSendRate(span time.Duration) float64 {
	d.sentBytes = 0
	d.advance(span)
	return float64(d.sentBytes) / float64(len(d.nodes)) / span.Seconds()
}

// randomNode returns a random running process.
func (d *domain) randomNode() *node {
	for {
		if n := d.nodes[d.addrs[d.rng.IntN(len(d.addrs))]]; n != nil {
			return n
		}
	}
}

// measureChanges changes the settings repeatedly and returns the propagation times.
func (d *domain) measureChanges() Distribution {
	var took []time.Duration
	for v := range uint64(changeCount) {
		begun := d.now
		d.applyVersion(d.randomNode(), v+1)
		for d.now < begun+changeInterval && !d.allHaveVersion(v+1) {
			d.advance(timeStep)
		}
		took = append(took, d.now-begun)
		d.advance(begun + changeInterval - d.now)
	}
	return newDistribution(took)
}

// allHaveVersion reports whether all processes have applied a settings version.
func (d *domain) allHaveVersion(version uint64) bool {
	for _, n := range d.nodes {
		if n.version < version {
			return false
		}
	}
	return true
}

// measureRestarts restarts processes at their addresses under new ids and returns the
// mean bytes that a member sends per second. A new process syncs with a random one.
func (d *domain) measureRestarts() float64 {
	total := 0.0
	for range restartCount {
		old := d.randomNode()
		n := d.start(old.addr)
		n.version = old.version
		d.syncWithRandomNode(n)
		total += d.measureSendRate(restartInterval)
	}
	return total / restartCount
}

// measureLosses stops processes and returns the detection times, each and full.
func (d *domain) measureLosses() (each, all Distribution) {
	var noticed, last []time.Duration
	for range lossCount {
		n := d.randomNode()
		delete(d.nodes, n.addr)
		begun := d.now
		seen := map[*node]bool{}
		for d.now < begun+lossInterval {
			d.advance(tickInterval)
			for _, q := range d.nodes {
				if q.dead[n.id] && !seen[q] {
					seen[q] = true
					noticed = append(noticed, d.now-begun)
					if len(seen) == len(d.nodes) {
						last = append(last, d.now-begun)
					}
				}
			}
		}
		for range len(d.nodes) - len(seen) {
			noticed = append(noticed, lossInterval)
		}
		if len(seen) < len(d.nodes) {
			last = append(last, lossInterval)
		}
	}
	return newDistribution(noticed), newDistribution(last)
}

// newDistribution sorts the durations and summarizes them.
func newDistribution(took []time.Duration) Distribution {
	if len(took) == 0 {
		return Distribution{}
	}
	slices.Sort(took)
	n := len(took)
	return Distribution{took[n/2], took[min(n-1, n*99/100)], took[n-1]}
}
