package study

import (
	"slices"
	"time"
)

// Options are the settings of a study.
type Options struct {
	// Members is how many processes the failure domain has.
	Members int
	// Seed decides all choices.
	Seed uint64
	// Loss is the share of datagrams that is lost.
	Loss float64
	// Progress is told what is played next, if it is not nil.
	Progress func(what string)
}

// Spread is a distribution of times.
type Spread struct{ Median, P99, Max time.Duration }

// Figures are what a study found.
type Result struct {
	Members int
	// Settle is how long after a start of all together the members have said all
	// that they have to say of it.
	SettleTime time.Duration
	// Quiet and Restarting are the bytes that a member sends in a second, in
	// datagrams: while nothing happens, and with a restart every ten seconds.
	IdleBytesPerSecond, RestartBytesPerSecond float64
	// Suspected is how often in an hour one member takes another, which runs, for
	// suspect, and Killed how often it holds it dead.
	FalseSuspicionsPerHour, FalseDeathsPerHour float64
	// Noticed is the time from the loss of a process until a member holds it dead,
	// over all members and losses, and All until the last one does.
	DetectionTime, FullDetectionTime Spread
	// InForce is the time from a change of the settings at one member until it is in
	// force on all.
	SettingsPropagationTime Spread
}

const (
	quietFor  = 60 * time.Second
	losses    = 10
	lossEvery = 15 * time.Second
	changes   = 20
	// changeEvery is more than a change takes.
	changeEvery  = 3 * time.Second
	restarts     = 10
	restartEvery = 10 * time.Second
	// settleMost bounds the wait for silence after the start.
	settleMost = 20 * time.Minute
	// settleStep is how often is looked for it, and quietBytes is the most that a
	// member then sends in a second: pings and acks without records.
	settleStep = 5 * time.Second
	quietBytes = 300
)

// Run plays a study.
func Run(o Options) Result {
	if o.Progress == nil {
		o.Progress = func(string) {}
	}
	f := Result{Members: o.Members}
	o.Progress("start")
	d := newDomain(o)
	for d.now < settleMost && d.rate(settleStep) > quietBytes {
	}
	f.SettleTime = d.now
	o.Progress("quiet")
	d.suspected, d.killed = 0, 0
	f.IdleBytesPerSecond = d.rate(quietFor)
	pairHours := quietFor.Hours() * float64(o.Members) * float64(o.Members)
	f.FalseSuspicionsPerHour = float64(d.suspected) / pairHours
	f.FalseDeathsPerHour = float64(d.killed) / pairHours
	o.Progress("changes")
	f.SettingsPropagationTime = d.playChanges()
	o.Progress("restarts")
	f.RestartBytesPerSecond = d.playRestarts()
	o.Progress("losses")
	f.DetectionTime, f.FullDetectionTime = d.playLosses()
	return f
}

// rate plays a while and returns the bytes that a member sent in a second.
func (d *domain) rate(span time.Duration) float64 {
	d.bytes = 0
	d.run(span)
	return float64(d.bytes) / float64(len(d.nodes)) / span.Seconds()
}

// any returns a process that runs.
func (d *domain) any() *node {
	for {
		if n := d.nodes[d.addrs[d.rng.IntN(len(d.addrs))]]; n != nil {
			return n
		}
	}
}

func (d *domain) playChanges() Spread {
	var took []time.Duration
	for v := range uint64(changes) {
		begun := d.now
		d.force(d.any(), v+1)
		for d.now < begun+changeEvery && !d.inForce(v+1) {
			d.run(step)
		}
		took = append(took, d.now-begun)
		d.run(begun + changeEvery - d.now)
	}
	return spread(took)
}

func (d *domain) inForce(version uint64) bool {
	for _, n := range d.nodes {
		if n.version < version {
			return false
		}
	}
	return true
}

// playRestarts starts processes again at their addresses, under new identities. The
// new one has what another knows, as a node that joins.
func (d *domain) playRestarts() float64 {
	total := 0.0
	for range restarts {
		old := d.any()
		n := d.start(old.addr)
		n.version = old.version
		d.compare(n)
		total += d.rate(restartEvery)
	}
	return total / restarts
}

func (d *domain) playLosses() (each, all Spread) {
	var noticed, last []time.Duration
	for range losses {
		n := d.any()
		delete(d.nodes, n.addr)
		begun := d.now
		seen := map[*node]bool{}
		for d.now < begun+lossEvery {
			d.run(tick)
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
			noticed = append(noticed, lossEvery)
		}
		if len(seen) < len(d.nodes) {
			last = append(last, lossEvery)
		}
	}
	return spread(noticed), spread(last)
}

func spread(took []time.Duration) Spread {
	if len(took) == 0 {
		return Spread{}
	}
	slices.Sort(took)
	n := len(took)
	return Spread{took[n/2], took[min(n-1, n*99/100)], took[n-1]}
}
