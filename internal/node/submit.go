package node

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/control"
	"github.com/umberthread/umberthread/seek"
)

// submitTry bounds one question to one replica.
const replicaAskTimeout = 700 * time.Millisecond

// leaderAnswer is what a replica said to one question.
type replicaAnswer struct {
	addr string
	// err is set if the replica did not answer.
	err error
	// code is fault.None if the question was settled.
	code fault.Code
	// leader is whom the replica takes for the leader.
	leader string
	// reply is the whole answer.
	reply any
}

// askLeader puts a question to the replicas of a group, a goroutine for each, until
// settled finds that an answer ends it or the time is over. The question may reach
// several replicas and one of them twice, so it must be idempotent. It returns how
// many questions were not answered.
func (n *Node) askLeader(group int, wait time.Duration, ask func(addr string, wait time.Duration) replicaAnswer, settled func(replicaAnswer) bool) (unanswered int) {
	began := time.Now()
	elapsed := func() time.Duration { return time.Since(began) }
	search := seek.New(n.replicas.leaderAddr(group))
	answers := make(chan replicaAnswer)
	done := make(chan struct{})
	defer close(done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for elapsed() < wait {
		addr, nextAt := search.Next(elapsed(), n.replicaAddrs())
		if addr != "" {
			unanswered++
			go func() {
				select {
				case answers <- ask(addr, min(wait-elapsed(), replicaAskTimeout)):
				case <-done:
				}
			}()
		}
		timer.Reset(min(nextAt, wait) - elapsed())
		select {
		case a := <-answers:
			unanswered--
			if settled(a) {
				return unanswered
			}
			recordAnswer(search, elapsed(), a)
		case <-timer.C:
		}
	}
	return unanswered
}

// note tells the search what a replica said.
func recordAnswer(s *seek.Search, now time.Duration, a replicaAnswer) {
	switch {
	case a.err != nil:
		s.Silent(now, a.addr)
	case a.code == fault.NotLeader:
		s.NotLeader(now, a.addr, a.leader)
	default:
		s.NoQuorum(now, a.addr)
	}
}

// submit has a command applied by a replica group, wherever its leader is. The
// command is sent again until a leader answers, so it must be idempotent. The
// error's Run is RunNo only if no replica can have taken the command.
func (n *Node) submitCommand(id int, command []byte, wait time.Duration) ([]byte, *fault.Error) {
	uncertain := false
	var result []byte
	var refused *fault.Error
	ask := func(addr string, wait time.Duration) replicaAnswer {
		reply, err := n.submitTo(addr, id, command, wait)
		return replicaAnswer{addr: addr, err: err, code: reply.Code, leader: reply.Leader, reply: reply}
	}
	found := false
	unanswered := n.askLeader(id, wait, ask, func(a replicaAnswer) bool {
		if a.err != nil {
			uncertain = uncertain || fault.From(a.err).Run != fault.RunNo
			return false
		}
		reply := a.reply.(*control.SubmitReply)
		switch reply.Code {
		case fault.None:
			result, found = reply.Result, true
		case fault.NotLeader:
			return false
		case fault.NoQuorum, fault.Overload:
			// A refusal would be untrue where an earlier question may yet be taken.
			uncertain = uncertain || reply.Run != fault.RunNo
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
		return nil, fault.New(fault.NoQuorum, "no quorum confirmed in time").Unknown()
	default:
		return nil, fault.New(fault.NoQuorum, "no replica can be reached")
	}
}

func (n *Node) submitTo(addr string, id int, command []byte, wait time.Duration) (*control.SubmitReply, error) {
	req := &control.SubmitRequest{Group: id, Command: command, WaitMs: wait.Milliseconds()}
	reply := &control.SubmitReply{}
	if addr == n.opt.AdvertiseControl {
		return reply, (&controlAPI{n}).Submit(req, reply)
	}
	return reply, n.control.pool.Call(addr, "Submit", req, reply, wait+replyMargin)
}

// answerMargin is the time that an answer has to come back after the replica's own
// time is over.
const replyMargin = 20 * time.Millisecond

// replicaAddrs returns the replicas' addresses.
func (n *Node) replicaAddrs() []string {
	var out []string
	for _, p := range n.view.Load().replicas {
		out = append(out, p.Addr)
	}
	if len(out) == 0 {
		// Nobody was told of yet; the settings may name replicas.
		out = append(out, n.bootstrap()...)
	}
	return out
}

// readCurrent returns the settings in force, confirmed by a quorum.
func (n *Node) readCurrentConfig(wait time.Duration) (*control.ReadReply, *fault.Error) {
	have := n.conf.Load()
	ask := func(addr string, wait time.Duration) replicaAnswer {
		reply, err := n.readConfigFrom(addr, have.version, wait)
		return replicaAnswer{addr: addr, err: err, code: reply.Code, leader: reply.Leader, reply: reply}
	}
	var found *control.ReadReply
	n.askLeader(configGroup, wait, ask, func(a replicaAnswer) bool {
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

func (n *Node) readConfigFrom(addr string, have uint64, wait time.Duration) (*control.ReadReply, error) {
	req := &control.ReadRequest{WaitMs: wait.Milliseconds(), Have: have}
	reply := &control.ReadReply{}
	if addr == n.opt.AdvertiseControl {
		return reply, (&controlAPI{n}).Read(req, reply)
	}
	return reply, n.control.pool.Call(addr, "Read", req, reply, wait+replyMargin)
}

// shardOf returns the group that holds a key.
func (n *Node) shardOf(key string) int {
	return 1 + int(xxhash.Sum64String(key)%uint64(n.opt.Shards))
}
