package node

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/control"
)

const (
	// submitPause is the pause before the replicas are asked again.
	submitPause = 20 * time.Millisecond
	// submitTry bounds one attempt at one replica, so that one behind a
	// silent partition does not hold up the others.
	submitTry = 700 * time.Millisecond
)

// submit has a command applied by a replica group, wherever its leader is. The
// command is sent again until a leader answers, so it must be idempotent. The
// error's Run is RunNo only if no replica can have taken the command.
func (n *Node) submit(id int, command []byte, wait time.Duration) ([]byte, *fault.Error) {
	deadline := time.Now().Add(wait)
	failure := fault.New(fault.NoQuorum, "no replica can be reached")
	maybe := false
	hint := n.replicas.leaderAddr(id)
	for round := 0; time.Now().Before(deadline); round++ {
		if round > 0 {
			time.Sleep(submitPause)
		}
		for _, addr := range n.replicaAddrs(hint) {
			left := time.Until(deadline)
			if left <= 0 {
				break
			}
			reply, err := n.submitTo(addr, id, command, min(left, submitTry))
			if err != nil {
				maybe = maybe || fault.From(err).Run != fault.RunNo
				continue
			}
			if reply.Code == fault.None {
				return reply.Result, nil
			}
			hint = reply.Leader
			switch reply.Code {
			case fault.NotLeader:
			case fault.NoQuorum:
				maybe = maybe || reply.Run != fault.RunNo
			default:
				return nil, fault.New(reply.Code, reply.Detail)
			}
		}
	}
	if maybe {
		failure.Run = fault.RunUnknown
		failure.Detail = "no quorum confirmed in time"
	}
	return nil, failure
}

func (n *Node) submitTo(addr string, id int, command []byte, wait time.Duration) (*control.SubmitReply, error) {
	req := &control.SubmitRequest{Group: id, Command: command, WaitMs: wait.Milliseconds()}
	reply := &control.SubmitReply{}
	if addr == n.opt.AdvertiseControl {
		return reply, (&controlAPI{n}).Submit(req, reply)
	}
	return reply, n.control.pool.Call(addr, "Submit", req, reply, wait+submitPause)
}

// replicaAddrs returns the replicas' addresses, the likely leader first.
func (n *Node) replicaAddrs(hint string) []string {
	var out []string
	if hint != "" {
		out = append(out, hint)
	}
	for _, p := range n.view.Load().replicas {
		if p.Addr != hint {
			out = append(out, p.Addr)
		}
	}
	if len(out) == 0 {
		// Nobody was told of yet; the settings may name replicas.
		out = append(out, n.bootstrap()...)
	}
	return out
}

// readCurrent returns the settings in force, confirmed by a quorum.
func (n *Node) readCurrent(wait time.Duration) (*control.ReadReply, *fault.Error) {
	deadline := time.Now().Add(wait)
	hint := n.replicas.leaderAddr(configGroup)
	for round := 0; time.Now().Before(deadline); round++ {
		if round > 0 {
			time.Sleep(submitPause)
		}
		for _, addr := range n.replicaAddrs(hint) {
			if !time.Now().Before(deadline) {
				break
			}
			have := n.conf.Load()
			req := &control.ReadRequest{WaitMs: submitTry.Milliseconds(), Have: have.version}
			reply := &control.ReadReply{}
			var err error
			if addr == n.opt.AdvertiseControl {
				err = (&controlAPI{n}).Read(req, reply)
			} else {
				err = n.control.pool.Call(addr, "Read", req, reply, submitTry+submitPause)
			}
			if err == nil && reply.Code == fault.None {
				if reply.Version == have.version {
					reply.Entries = have.raw
				}
				return reply, nil
			}
			if err == nil && reply.Leader != "" {
				hint = reply.Leader
			}
		}
	}
	return nil, fault.New(fault.NoQuorum, "no quorum confirmed the read")
}

// shardOf returns the group that holds a key.
func (n *Node) shardOf(key string) int {
	return 1 + int(xxhash.Sum64String(key)%uint64(n.opt.Shards))
}
