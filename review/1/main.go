// Command 1 is a case of the review: backend servers that reject part of their requests send some
// rejections twice.
package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/umberthread/umberthread/review/lab"
)

const (
	// perSecond is the load of the requests that may run once at most.
	perSecond = 150
	// shedShare is the share of the requests that all four backend servers reject. garbledWorkers of
	// them send repeatedShare of these rejections twice, which is less than garbledShare of their
	// answers.
	shedShare      = 0.25
	garbledWorkers = 2
	repeatedShare  = 0.12
	garbledShare   = 0.03
	// work is how long a request takes.
	work = 78 * time.Millisecond
)

// The load has cycles. In each, the backend servers shed for shedTime, and some of them send answers
// twice for garbledTime.
const (
	cycles      = 10
	cycle       = 7 * time.Second
	shedTime    = 6500 * time.Millisecond
	garbledFrom = time.Second
	garbledTime = 5 * time.Second
	loadTime    = cycles * cycle
)

// sheds and garbles report what happens at a time since the start of the load.
func sheds(at time.Duration) bool { return at >= 0 && at%cycle < shedTime }

func garbles(at time.Duration) bool {
	return at >= 0 && at%cycle >= garbledFrom && at%cycle < garbledFrom+garbledTime
}

// garbling counts the answers of the faulty backend servers, and those that they send twice.
type garbling struct{ answers, repeated atomic.Int64 }

// repeats decides whether an answer is sent twice: a part of the rejections, within garbledShare of
// all answers.
func (g *garbling) repeats(rejected bool) bool {
	answers := g.answers.Add(1)
	if !rejected || rand.Float64() >= repeatedShare || float64(g.repeated.Load()+1) > garbledShare*float64(answers) {
		return false
	}
	g.repeated.Add(1)
	return true
}

func main() { lab.Main(run) }

func run(l *lab.Lab) (lab.Verdict, error) {
	d, err := l.Deploy(map[string]int{"sheets": 4, "bookings": 4})
	if err != nil {
		return lab.Verdict{}, err
	}
	if err := d.Put(lab.Document{Version: 1, MaxBody: 64 << 20}); err != nil {
		return lab.Verdict{}, err
	}
	var began atomic.Int64
	sinceLoad := func() time.Duration {
		if began.Load() == 0 {
			return -1
		}
		return l.Now() - time.Duration(began.Load())
	}
	ledger := lab.NewLedger()
	var g garbling
	for i, m := range d.Nodes {
		w := &lab.Worker{ID: "i-" + m.Name, Slots: 293, Work: work, Ledger: ledger}
		if m.Service == "bookings" {
			w.Sheds = func() bool { return sheds(sinceLoad()) && rand.Float64() < shedShare }
			if l.Trouble && i%4 < garbledWorkers {
				w.Repeats = func(rejected bool) bool { return garbles(sinceLoad()) && g.repeats(rejected) }
			}
		}
		if err := m.StartWorker(w); err != nil {
			return lab.Verdict{}, err
		}
	}
	if err := d.AwaitReady(20 * time.Second); err != nil {
		return lab.Verdict{}, err
	}
	time.Sleep(3 * time.Second)

	began.Store(int64(l.Now()))
	stop := make(chan struct{})
	time.AfterFunc(loadTime, func() { close(stop) })
	var mu sync.Mutex
	var answers []lab.Answer
	lab.Load(perSecond, stop, func(n int) {
		body := fmt.Sprintf("confirmation %d", n)
		a := d.Nodes[n%len(d.Nodes)].Call("POST", fmt.Sprintf("/confirm/%d", n), strings.NewReader(body), int64(len(body)))
		l.Note("caller at %s: %s", d.Nodes[n%len(d.Nodes)].Name, a)
		mu.Lock()
		answers = append(answers, a)
		mu.Unlock()
	})
	time.Sleep(time.Second)
	return judge(l, answers, ledger, &g), nil
}

// judge checks that no request ran twice, and that none ran whose answer promises that it did not.
func judge(l *lab.Lab, answers []lab.Answer, ledger *lab.Ledger, g *garbling) lab.Verdict {
	statuses := map[int]int{}
	twice, refused := 0, 0
	for _, a := range answers {
		statuses[a.Status]++
		runs := ledger.Of(a.ID)
		if len(runs) > 1 {
			twice++
			l.Note("TWICE: %s ran %d times: %v", a, len(runs), runs)
		}
		if a.PromisesNotRun() && len(runs) > 0 {
			refused++
			l.Note("REFUSED: %s ran: %v", a, runs)
		}
	}
	return lab.Verdict{
		Broken: twice > 0 || refused > 0,
		Text: fmt.Sprintf("%d requests that may run once: %d ran twice, %d ran and were answered 'not run'; statuses %v; the faulty workers sent %d of %d answers twice",
			len(answers), twice, refused, statuses, g.repeated.Load(), g.answers.Load()),
	}
}
