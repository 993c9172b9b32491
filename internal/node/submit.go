package node

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/control"
	"github.com/umberthread/umberthread/seek"
)

// replicaAskTimeout bounds one request to one replica.
const replicaAskTimeout = 700 * time.Millisecond

// replicaResponse is the outcome of one request to a replica.
type replicaResponse struct {
	addr string
	// err is set if the replica did not respond.
	err error
	// code is fault.None if the request succeeded.
	code fault.Code
	// leader is the address of the leader according to the replica.
	leader string
	// reply is the complete RPC reply.
	reply any
}

// askLeader sends a request to the replicas of a group, each on its own goroutine,
// until settled accepts a response or the wait is over. The request may reach several
// replicas, and one of them twice, so it must be idempotent. askLeader returns the
// number of requests that have no response yet.
func (n *Node) askLeader(group int, wait time.Duration, ask func(addr string, wait time.Duration) replicaResponse, settled func(replicaResponse) bool) (unanswered int) {
	began := time.Now()
	elapsed := func() time.Duration { return time.Since(began) }
	search := seek.New(n.replicas.leaderAddr(group))
	responses := make(chan replicaResponse)
	done := make(chan struct{})
	defer close(done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for elapsed() < wait {
		addr, nextAt := search.NextReplica(elapsed(), n.replicaAddrs())
		if addr != "" {
			unanswered++
			go func() {
				select {
				case responses <- ask(addr, min(wait-elapsed(), replicaAskTimeout)):
				case <-done:
				}
			}()
		}
		timer.Reset(min(nextAt, wait) - elapsed())
		select {
		case a := <-responses:
			unanswered--
			if settled(a) {
				return unanswered
			}
			recordReplicaResponse(search, elapsed(), a)
		case <-timer.C:
		}
	}
	return unanswered
}

// recordReplicaResponse passes a replica's response to the search for the leader.
func recordReplicaResponse(s *seek.LeaderSearch, now time.Duration, a replicaResponse) {
	switch {
	case a.err != nil:
		s.RecordNoResponse(now, a.addr)
	case a.code == fault.NotLeader:
		s.RecordNotLeader(now, a.addr, a.leader)
	default:
		s.RecordNoQuorum(now, a.addr)
	}
}

// submitCommand commits a command in a replica group, whichever node leads it. The
// command is resent until a leader responds, so it must be idempotent. The error's
// Run is fault.NotExecuted only if no replica can have accepted the command.
func (n *Node) submitCommand(id int, command []byte, wait time.Duration) ([]byte, *fault.Error) {
	uncertain := false
	var result []byte
	var refused *fault.Error
	ask := func(addr string, wait time.Duration) replicaResponse {
		reply, err := n.submitTo(addr, id, command, wait)
		return replicaResponse{addr: addr, err: err, code: reply.Code, leader: reply.Leader, reply: reply}
	}
	found := false
	unanswered := n.askLeader(id, wait, ask, func(a replicaResponse) bool {
		if a.err != nil {
			uncertain = uncertain || fault.From(a.err).Execution != fault.NotExecuted
			return false
		}
		reply := a.reply.(*control.SubmitReply)
		switch reply.Code {
		case fault.None:
			result, found = reply.Result, true
		case fault.NotLeader:
			return false
		case fault.NoQuorum, fault.Overload:
			// Not final: an earlier request may still be accepted.
			uncertain = uncertain || reply.Run != fault.NotExecuted
			return false
		default:
			refused = fault.New(reply.Code, reply.Detail)
		}
		return true
	})
	switch {
	case found:
		return result, nil
	case refused != nil:
		return nil, refused
	case uncertain || unanswered > 0:
		return nil, fault.New(fault.NoQuorum, "no quorum confirmed in time").WithUnknownExecution()
	default:
		return nil, fault.New(fault.NoQuorum, "no replica can be reached")
	}
}

// submitTo submits a command to the replica at an address.
func (n *Node) submitTo(addr string, id int, command []byte, wait time.Duration) (*control.SubmitReply, error) {
	req := &control.SubmitRequest{Group: id, Command: command, WaitMs: wait.Milliseconds()}
	reply := &control.SubmitReply{}
	if addr == n.opt.AdvertiseControl {
		return reply, (&controlAPI{n}).Submit(req, reply)
	}
	return reply, n.control.pool.Call(addr, "Submit", req, reply, wait+replyMargin)
}

// replyMargin is the extra time for a reply to arrive after the replica's own timeout.
const replyMargin = 20 * time.Millisecond

// replicaAddrs returns the control addresses of the known replicas or, if none is known, the
// addresses at which replicas may be found.
func (n *Node) replicaAddrs() []string {
	var out []string
	for _, p := range n.view.Load().replicas {
		out = append(out, p.Addr)
	}
	if len(out) == 0 {
		out = n.entryAddrs()
	}
	return out
}

// readCurrentConfig returns the current settings, confirmed by a quorum.
func (n *Node) readCurrentConfig(wait time.Duration) (*control.ReadReply, *fault.Error) {
	have := n.conf.Load()
	ask := func(addr string, wait time.Duration) replicaResponse {
		reply, err := n.readConfigFrom(addr, have.version, wait)
		return replicaResponse{addr: addr, err: err, code: reply.Code, leader: reply.Leader, reply: reply}
	}
	var found *control.ReadReply
	n.askLeader(configGroup, wait, ask, func(a replicaResponse) bool {
		if a.err != nil || a.code != fault.None {
			return false
		}
		found = a.reply.(*control.ReadReply)
		return true
	})
	if found == nil {
		return nil, fault.New(fault.NoQuorum, "no quorum confirmed the read")
	}
	if found.Version == have.version {
		found.Entries = have.entries
	}
	return found, nil
}

// readConfigFrom reads the settings from the replica at an address. have is the
// version that this node has.
func (n *Node) readConfigFrom(addr string, have uint64, wait time.Duration) (*control.ReadReply, error) {
	req := &control.ReadRequest{WaitMs: wait.Milliseconds(), Have: have}
	reply := &control.ReadReply{}
	if addr == n.opt.AdvertiseControl {
		return reply, (&controlAPI{n}).Read(req, reply)
	}
	return reply, n.control.pool.Call(addr, "Read", req, reply, wait+replyMargin)
}

// shardOf returns the ID of the group that holds an idempotency key.
func (n *Node) shardOf(key string) int {
	return 1 + int(xxhash.Sum64String(key)%uint64(n.opt.Shards))
}
