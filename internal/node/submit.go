package node

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/control"
	"github.com/umberthread/umberthread/seek"
)

// submitTry bounds one question to one replica.
const submitTry = 700 * time.Millisecond

// leaderAnswer is what a replica said to one question.
type leaderAnswer struct {
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
func (n *Node) askLeader(group int, wait time.Duration, ask func(addr string, wait time.Duration) leaderAnswer, settled func(leaderAnswer) bool) (open int) {
	began := time.Now()
	since := func() time.Duration { return time.Since(began) }
	search := seek.New(n.replicas.leaderAddr(group))
	answers := make(chan leaderAnswer)
	done := make(chan struct{})
	defer close(done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for since() < wait {
		addr, again := search.NextReplica(since(), n.replicaAddrs())
		if addr != "" {
			open++
			go func() {
				select {
				case answers <- ask(addr, min(wait-since(), submitTry)):
				case <-done:
				}
			}()
		}
		timer.Reset(min(again, wait) - since())
		select {
		case a := <-answers:
			open--
			if settled(a) {
				return open
			}
			note(search, since(), a)
		case <-timer.C:
		}
	}
	return open
}

// note tells the search what a replica said.
func note(s *seek.LeaderSearch, now time.Duration, a leaderAnswer) {
	switch {
	case a.err != nil:
		s.RecordNoResponse(now, a.addr)
	case a.code == fault.NotLeader:
		s.NotLeader(now, a.addr, a.leader)
	default:
		s.NoQuorum(now, a.addr)
	}
}

// submit has a command applied by a replica group, wherever its leader is. The
// command is sent again until a leader answers, so it must be idempotent. The
// error's Run is RunNo only if no replica can have taken the command.
func (n *Node) submit(id int, command []byte, wait time.Duration) ([]byte, *fault.Error) {
	maybe := false
	var result []byte
	var refused *fault.Error
	ask := func(addr string, wait time.Duration) leaderAnswer {
		reply, err := n.submitTo(addr, id, command, wait)
		return leaderAnswer{addr: addr, err: err, code: reply.Code, leader: reply.Leader, reply: reply}
	}
	found := false
	open := n.askLeader(id, wait, ask, func(a leaderAnswer) bool {
		if a.err != nil {
			maybe = maybe || fault.From(a.err).Run != fault.NotExecuted
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
			maybe = maybe || reply.Run != fault.NotExecuted
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
	case maybe || open > 0:
		return nil, fault.New(fault.NoQuorum, "no quorum confirmed in time").WithUnknownExecution()
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
	return reply, n.control.pool.Call(addr, "Submit", req, reply, wait+answerMargin)
}

// answerMargin is the time that an answer has to come back after the replica's own
// time is over.
const answerMargin = 20 * time.Millisecond

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
func (n *Node) readCurrent(wait time.Duration) (*control.ReadReply, *fault.Error) {
	have := n.conf.Load()
	ask := func(addr string, wait time.Duration) leaderAnswer {
		reply, err := n.readFrom(addr, have.version, wait)
		return leaderAnswer{addr: addr, err: err, code: reply.Code, leader: reply.Leader, reply: reply}
	}
	var found *control.ReadReply
	n.askLeader(configGroup, wait, ask, func(a leaderAnswer) bool {
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
		found.Entries = have.raw
	}
	return found, nil
}

func (n *Node) readFrom(addr string, have uint64, wait time.Duration) (*control.ReadReply, error) {
	req := &control.ReadRequest{WaitMs: wait.Milliseconds(), Have: have}
	reply := &control.ReadReply{}
	if addr == n.opt.AdvertiseControl {
		return reply, (&controlAPI{n}).Read(req, reply)
	}
	return reply, n.control.pool.Call(addr, "Read", req, reply, wait+answerMargin)
}

// shardOf returns the group that holds a key.
func (n *Node) shardOf(key string) int {
	return 1 + int(xxhash.Sum64String(key)%uint64(n.opt.Shards))
}
