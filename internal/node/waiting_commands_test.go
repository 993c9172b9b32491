package node

import (
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/claims"
)

// Guards against a fleet that accepts nothing for as long as many commands wait: late replies
// closed the connections between the replicas, and the calls that they cut off were sent again.
func TestCommandsAreAcceptedAfterAStallWhileManyWait(t *testing.T) {
	const (
		callers = 1000
		wait    = 3 * time.Second
		pause   = 500 * time.Millisecond
		stall   = 4 * time.Second
	)
	g := gomega.NewWithT(t)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	nodes, disks := startStallableReplicas(t)
	var accepted atomic.Int64
	var waiting sync.WaitGroup
	stop := make(chan struct{})
	defer waiting.Wait()
	defer close(stop)
	for i := range callers {
		waiting.Go(func() {
			for next := time.After(time.Duration(i) * pause / callers); ; next = time.After(pause) {
				select {
				case <-stop:
					return
				case <-next:
				}
				claim := claims.Command{
					Op: claims.OpBegin, Kind: "suva/claims-hub/lodge", Key: uuid.Must(uuid.NewV7()).String(), Token: newID(),
					NowMs: time.Now().UnixMilli(), LeaseMs: time.Minute.Milliseconds(), RetainMs: time.Hour.Milliseconds(),
				}
				if _, ferr := nodes[i%len(nodes)].submitCommand(1, encodeMsgpack(&claim), wait); ferr == nil {
					accepted.Add(1)
				}
			}
		})
	}
	g.Eventually(accepted.Load, "20s").Should(gomega.BeNumerically(">=", callers))
	for _, d := range disks {
		d.stall()
	}
	time.Sleep(stall)
	for _, d := range disks {
		d.resume()
	}
	before := accepted.Load()
	g.Eventually(func() int64 { return accepted.Load() - before }, "10s", "20ms").Should(gomega.BeNumerically(">=", callers))
}
