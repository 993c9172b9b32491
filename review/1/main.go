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
	perSecond = 450
	// garbledShare is the share of the answers that are sent twice, on garbledWorkers of the four
	// backend servers, and shedShare that of the requests that all of them reject.
	garbledShare   = 0.03
	garbledWorkers = 2
	shedShare      = 0.25
	// work is how long a request takes.
	work = 78 * time.Millisecond
)

// The load has cycles. In each, the backend servers shed for shedTime, and some of them send answers
// twice for garbledTime.
const (
	cycles      = 6
	cycle       = 10 * time.Second
	shedTime    = 8500 * time.Millisecond
	garbledFrom = 2 * time.Second
	garbledTime = 5 * time.Second
	loadTime    = cycles * cycle
)

// sheds and garbles report what happens at a time since the start of the load.
func sheds(at time.Duration) bool { return at >= 0 && at%cycle < shedTime }

func garbles(at time.Duration) bool {
	return at >= 0 && at%cycle >= garbledFrom && at%cycle < garbledFrom+garbledTime
}

func main() { lab.Main(run) }

func run(l *lab.Lab) (lab.Verdict, error) {
	d, err := l.Deploy(map[string]int{"sheets": 4, "bookings": 4})
	if err != nil {
		return lab.Verdict{}, err
	}
	if err := d.PutDocument(1, 0, 64<<20); err != nil {
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
	var workers []*lab.Worker
	for i, m := range d.Nodes {
		w := &lab.Worker{ID: "i-" + m.Name, Slots: 293, Work: work, Ledger: ledger}
		if m.Service == "bookings" {
			w.Sheds = func() bool { return sheds(sinceLoad()) && rand.Float64() < shedShare }
			if l.Trouble && i%4 < garbledWorkers {
				w.Repeats = func(bool) bool { return garbles(sinceLoad()) && rand.Float64() < garbledShare }
			}
			workers = append(workers, w)
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
	return judge(l, answers, ledger, workers), nil
}

// judge checks that no request ran twice, and that none ran whose answer promises that it did not.
func judge(l *lab.Lab, answers []lab.Answer, ledger *lab.Ledger, workers []*lab.Worker) lab.Verdict {
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
	var sent, repeated int64
	for _, w := range workers {
		sent += w.Answers.Load()
		repeated += w.Repeated.Load()
	}
	return lab.Verdict{
		Broken: twice > 0 || refused > 0,
		Text: fmt.Sprintf("%d requests that may run once: %d ran twice, %d ran and were answered 'not run'; statuses %v; %d of %d answers of the service were sent twice",
			len(answers), twice, refused, statuses, repeated, sent),
	}
}
