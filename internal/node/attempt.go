package node

import (
	"slices"
	"time"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/progress"
	"github.com/umberthread/umberthread/internal/wire"
	"github.com/umberthread/umberthread/route"
)

// exchange is a request that was sent to a backend server, or to the node beside one.
type exchange interface {
	// await waits for the response until the given time, or without a bound if that is zero.
	await(until time.Time) (*response, progress.State, *fault.Error)
	// abandon ends the exchange. It is not called after await has returned progress.Ended.
	abandon()
}

// attempt is an attempt of a call that is under way.
type attempt struct {
	instance *route.Instance
	exchange exchange
}

const (
	// underWayMax is the maximum number of attempts of a call that are under way at a time:
	// one in doubt, and the one that may answer in its place.
	underWayMax = 2
	// alternateInterval is how long one of several attempts under way is awaited before the other.
	alternateInterval = 20 * time.Millisecond
)

// errDoubted returns the failure by which the retry decision learns of an attempt in doubt. The
// attempt goes on: it may be answered after all.
func errDoubted() *fault.Error {
	return fault.New(fault.Doubted, "no response for far longer than recent requests took").WithUnknownExecution()
}

// awaitAttempts waits until an attempt of the call ends or comes into doubt. An attempt that has
// ended is no longer under way.
func (n *Node) awaitAttempts(c *call) (*response, *route.Instance, *fault.Error) {
	for {
		for i, a := range c.underWay {
			var until time.Time
			if len(c.underWay) > 1 {
				until = time.Now().Add(alternateInterval)
			}
			resp, state, ferr := a.exchange.await(until)
			switch state {
			case progress.Ended:
				c.underWay = slices.Delete(c.underWay, i, i+1)
				return resp, a.instance, ferr
			case progress.Doubted:
				n.stats.doubtedAttempts.Add(1)
				return nil, a.instance, errDoubted()
			}
		}
	}
}

// abandonAttempts ends the attempts that are still under way when the call has its answer.
func (n *Node) abandonAttempts(c *call) {
	for _, a := range c.underWay {
		a.exchange.abandon()
	}
	c.underWay = nil
}

// peerExchange is a call that was sent to another node.
type peerExchange struct {
	node     *Node
	call     *call
	instance *route.Instance
	pending  *wire.Pending
	// lease is the part of the retry budget that the other node may spend.
	lease int
	// sentAt is on the node's clock.
	sentAt time.Duration
}

// await implements exchange.
func (x *peerExchange) await(until time.Time) (*response, progress.State, *fault.Error) {
	wireResp, state, err := x.pending.Await(until)
	switch {
	case state == progress.Doubted && x.pending.IsSilent():
		// It gets no more requests until it responds to a ping.
		x.node.peers.markUnreachable(x.instance.Addr, x.instance.Observed)
		return nil, state, nil
	case state != progress.Ended:
		return nil, state, nil
	}
	if err != nil {
		return nil, progress.Ended, x.node.recordPeerFailure(x, fault.From(err))
	}
	resp, ferr := x.node.receiveFromPeer(x, wireResp)
	return resp, progress.Ended, ferr
}

// abandon implements exchange.
func (x *peerExchange) abandon() {
	x.pending.Abandon()
	x.call.retryBudget.ForfeitLease(x.lease)
	x.instance.Observed.RecordOutcome(x.node.clock(), route.Outcome{Failed: x.call.scope.Err() == fault.None}, x.node.ejectOptions(x.call))
}

// localExchange is a call that was sent to the local backend server.
type localExchange struct {
	*localExecution
	node     *Node
	call     *call
	instance *route.Instance
}

// await implements exchange.
func (x *localExchange) await(until time.Time) (*response, progress.State, *fault.Error) {
	resp, state, ferr := x.localExecution.await(until)
	if state == progress.Ended {
		x.node.recordLocalOutcome(x.call, x.instance, resp, ferr)
	}
	return resp, state, ferr
}

// abandon implements exchange.
func (x *localExchange) abandon() {
	x.localExecution.abandon()
	x.instance.Observed.RecordOutcome(x.node.clock(), route.Outcome{Failed: x.call.scope.Err() == fault.None}, x.node.ejectOptions(x.call))
}
