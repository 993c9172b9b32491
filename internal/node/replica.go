package node

import (
	"cmp"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/control"
	"github.com/umberthread/umberthread/internal/ring"
	"github.com/umberthread/umberthread/internal/wal"
	"github.com/umberthread/umberthread/raft"
	"github.com/umberthread/umberthread/settings"
)

const (
	// configGroup holds the operators' settings; the groups after it share
	// the idempotency keys.
	configGroup  = 0
	identityName = "identity"
	lostPrefix   = "lost-"
	senderRing   = 1024
	stepTimeout  = time.Second
)

// replicas are the replica groups on this node's disk. A node without a data
// folder has none.
type replicas struct {
	n      *Node
	id     string
	groups []*group

	mu      sync.Mutex
	senders map[string]*ring.Ring[outgoing]

	// alive are the replicas that answered under their identity to this leader, nil
	// while it leads no group.
	alive atomic.Pointer[[]raft.Peer]
}

type outgoing struct {
	group int
	msg   raft.Message
}

// openReplicas opens the data folder. A damaged one is a lost disk: it is set
// aside, said so, and the replica comes back empty under a new identity, for
// the old one has made promises that it can no longer keep.
func openReplicas(n *Node) (*replicas, error) {
	r := &replicas{n: n, senders: map[string]*ring.Ring[outgoing]{}}
	if n.opt.DataFolder == "" {
		return r, nil
	}
	err := r.open()
	if fault.CodeOf(err) != fault.Corrupt {
		return r, err
	}
	n.event("replica", "The data folder is damaged and set aside: "+err.Error())
	if err := setAside(n.opt.DataFolder); err != nil {
		return nil, err
	}
	r.groups = nil
	return r, r.open()
}

// setAside moves what is in the folder into a folder of its own.
func setAside(dir string) error {
	aside := filepath.Join(dir, lostPrefix+strconv.FormatInt(time.Now().UnixNano(), 36))
	if err := os.Mkdir(aside, 0o755); err != nil {
		return fault.Wrap(fault.Internal, err, "cannot set the data folder aside")
	}
	items, err := os.ReadDir(dir)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "cannot read the data folder")
	}
	for _, it := range items {
		if strings.HasPrefix(it.Name(), lostPrefix) {
			continue
		}
		if err := os.Rename(filepath.Join(dir, it.Name()), filepath.Join(aside, it.Name())); err != nil {
			return fault.Wrap(fault.Internal, err, "cannot set the data folder aside")
		}
	}
	return nil
}

func (r *replicas) open() error {
	dir := r.n.opt.DataFolder
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fault.Wrap(fault.Internal, err, "cannot make the data folder")
	}
	if err := r.loadIdentity(dir); err != nil {
		return err
	}
	for id := 0; id <= r.n.opt.Shards; id++ {
		w, loaded, err := wal.Open(filepath.Join(dir, "group-"+strconv.Itoa(id)))
		if err != nil {
			return err
		}
		if r.n.opt.SyncHold != "" {
			w.HoldSyncs(r.n.awaitSyncRelease)
		}
		var m stateMachine = &claimMachine{}
		if id == configGroup {
			m = &confMachine{n: r.n}
		}
		g, err := openGroup(r, id, newLogWriter(r.wrap(w)), loaded, m)
		if err != nil {
			return err
		}
		r.groups = append(r.groups, g)
	}
	return nil
}

func (r *replicas) wrap(log replicaLog) replicaLog {
	if r.n.opt.wrapLog == nil {
		return log
	}
	return r.n.opt.wrapLog(log)
}

// loadIdentity reads the identity, or makes one for an empty folder. A folder
// with groups but no identity is damaged.
func (r *replicas) loadIdentity(dir string) error {
	path := filepath.Join(dir, identityName)
	b, err := os.ReadFile(path)
	if err == nil && len(b) == len(newID()) {
		r.id = string(b)
		return nil
	}
	if err == nil || !errors.Is(err, os.ErrNotExist) {
		return fault.New(fault.Corrupt, "the replica's identity is damaged")
	}
	if _, err := os.Stat(filepath.Join(dir, "group-0")); err == nil {
		return fault.New(fault.Corrupt, "the replica's identity is gone")
	}
	r.id = newID()
	return wal.WriteFile(dir, identityName, []byte(r.id))
}

const (
	// verifyEvery is the time between two rounds of asking replicas who they
	// are, and verifySoon the same while a change of a group's members is due.
	verifyEvery = 500 * time.Millisecond
	verifySoon  = 100 * time.Millisecond
)

// verifyLoop is the duty that asks the replicas which others tell of for their
// identity, while this one leads a group. Gossip is late: it may name the
// identity that stood at an address before its disk was lost. While a change of
// the members is due it also asks at the addresses from the settings and at
// those of the members, as who stands there now may not have been told of yet.
func (r *replicas) verifyLoop() {
	rounds := 0
	r.n.every(verifySoon, func(time.Time) {
		rounds++
		if !r.leadsAny() {
			// Who answered in an earlier lead may be gone in the next: a member
			// would be moved back to an address that it has left.
			r.alive.Store(nil)
			return
		}
		due := r.changeDue()
		if !due && rounds%int(verifyEvery/verifySoon) != 0 {
			return
		}
		told := r.n.view.Load().replicas
		if due {
			told = append(told[:len(told):len(told)], r.atAddresses(told)...)
		}
		alive := r.ask(told)
		r.alive.Store(&alive)
	})
}

// changeDue tells whether a group that this replica leads lacks a sound member.
func (r *replicas) changeDue() bool {
	for _, g := range r.groups {
		if g.leads.Load() && !g.settled.Load() {
			return true
		}
	}
	return false
}

// atAddresses returns the replicas at the addresses from the settings, and at
// those of the groups' members, that are not among those told of.
func (r *replicas) atAddresses(told []raft.Peer) []raft.Peer {
	asked := map[string]bool{r.n.opt.AdvertiseControl: true}
	addrs := slices.Clone(r.n.bootstrap())
	for _, g := range r.groups {
		if conf := g.conf.Load(); conf != nil {
			for _, p := range conf.Voters {
				addrs = append(addrs, p.Addr)
			}
		}
	}
	var out []raft.Peer
	for _, addr := range addrs {
		if asked[addr] {
			continue
		}
		asked[addr] = true
		var reply control.IdentityReply
		err := r.n.control.pool.Call(addr, "Identity", &control.Empty{}, &reply, verifySoon)
		p := raft.Peer{ID: reply.ID, Addr: cmp.Or(reply.Addr, addr), Domain: reply.Domain}
		if err == nil && reply.ID != "" && !slices.Contains(told, p) {
			out = append(out, p)
		}
	}
	return out
}

func (r *replicas) leadsAny() bool {
	for _, g := range r.groups {
		if g.leads.Load() {
			return true
		}
	}
	return false
}

// ask returns the replicas that answer under their identity, all asked at once.
func (r *replicas) ask(told []raft.Peer) []raft.Peer {
	answers := make([]bool, len(told))
	var wg sync.WaitGroup
	for i, p := range told {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var reply control.IdentityReply
			err := r.n.control.pool.Call(p.Addr, "Identity", &control.Empty{}, &reply, stepTimeout)
			answers[i] = err == nil && reply.ID == p.ID
		}()
	}
	wg.Wait()
	var out []raft.Peer
	for i, p := range told {
		if answers[i] {
			out = append(out, p)
		}
	}
	return out
}

// verified returns the replicas that lately answered under their identity.
func (r *replicas) verified() []raft.Peer {
	if p := r.alive.Load(); p != nil {
		return slices.Clip(*p)
	}
	return nil
}

func (r *replicas) start() {
	if len(r.groups) > 0 {
		r.n.duty("verify", r.verifyLoop)
	}
	for _, g := range r.groups {
		r.n.duty("replica", g.run)
		r.n.duty("log writer", func() { g.writer.run(r.n.stop) })
	}
}

// identity returns the identity of the replica on this node's disk, or "".
func (r *replicas) identity() string {
	if r == nil {
		return ""
	}
	return r.id
}

// formed tells whether this replica belongs to a group.
func (r *replicas) formed() bool {
	if len(r.groups) == 0 {
		return false
	}
	conf := r.groups[configGroup].conf.Load()
	return conf != nil && len(conf.Voters) > 0
}

// form makes this replica the first of the groups. It is a person's decision,
// taken once: a replica that lost its disk must never take it by itself.
func (r *replicas) form() error {
	if len(r.groups) == 0 {
		return fault.New(fault.BadRequest, "this node has no data folder")
	}
	if r.formed() {
		return fault.New(fault.Conflict, "this replica already belongs to a group")
	}
	self := raft.Peer{ID: r.id, Addr: r.n.opt.AdvertiseControl, Domain: r.n.opt.Domain}
	for _, g := range r.groups {
		done := make(chan error, 1)
		g.post(func() { done <- g.form(self) })
		if err := <-done; err != nil {
			return err
		}
	}
	return nil
}

// form starts the group with this replica as its only voter.
func (g *group) form(self raft.Peer) error {
	if len(g.core.Conf().Voters) > 0 {
		return fault.New(fault.Conflict, "this replica already belongs to a group")
	}
	snap := raft.Form(self, nil)
	st := raft.State{Term: snap.Term, Commit: snap.Index}
	if err := g.resetLogAndWait(&logReset{snapshot: snap, state: &st}); err != nil {
		return err
	}
	next, err := openGroup(g.r, g.id, g.writer, wal.Loaded{State: st, Snapshot: snap}, g.sm)
	if err != nil {
		return err
	}
	g.core = next.core
	g.core.Campaign()
	return nil
}

func (r *replicas) group(id int) *group {
	if id < 0 || id >= len(r.groups) {
		return nil
	}
	return r.groups[id]
}

func (r *replicas) step(id int, ms []raft.Message) {
	g := r.group(id)
	if g == nil {
		return
	}
	// A full inbox drops the messages, like the network may.
	g.post(func() {
		for _, m := range ms {
			g.core.Step(m)
		}
	})
}

func (r *replicas) addrOf(conf raft.Conf, id string) string {
	for _, p := range append(append([]raft.Peer(nil), conf.Voters...), conf.Learners...) {
		if p.ID == id {
			return p.Addr
		}
	}
	return ""
}

// leaderAddr returns the control address of a group's leader, or "".
func (r *replicas) leaderAddr(id int) string {
	g := r.group(id)
	if g == nil {
		return ""
	}
	if a := g.leaderAddr.Load(); a != nil {
		return *a
	}
	return ""
}

// send hands messages to the duty that sends to their address. The ring of an
// address that does not answer fills and drops; the protocol sends again.
func (r *replicas) send(g *group, ms []raft.Message) {
	if len(ms) == 0 {
		return
	}
	conf := g.core.Conf()
	for _, m := range ms {
		addr := r.addrOf(conf, m.To)
		if addr == "" {
			addr = r.candidateAddr(m.To)
		}
		if addr != "" {
			r.sender(addr).Offer(outgoing{g.id, m})
		}
	}
}

// candidateAddr finds a replica that this one does not yet know as a member:
// a learner answers its leader before it has the membership.
func (r *replicas) candidateAddr(id string) string {
	for _, p := range append(r.verified(), r.n.view.Load().replicas...) {
		if p.ID == id {
			return p.Addr
		}
	}
	return ""
}

func (r *replicas) sender(addr string) *ring.Ring[outgoing] {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.senders[addr]
	if s == nil {
		s = ring.New[outgoing](senderRing)
		r.senders[addr] = s
		r.n.duty("sender", func() { r.sendLoop(addr, s) })
	}
	return s
}

// sendLoop is the duty that sends to one address, in batches by group.
func (r *replicas) sendLoop(addr string, s *ring.Ring[outgoing]) {
	for {
		var first outgoing
		select {
		case <-r.n.stop:
			return
		case first = <-s.C():
		}
		batches := map[int][]raft.Message{first.group: {first.msg}}
		for more := true; more; {
			select {
			case o := <-s.C():
				batches[o.group] = append(batches[o.group], o.msg)
			default:
				more = false
			}
		}
		for id, ms := range batches {
			req := &control.StepRequest{Group: id, Messages: ms}
			_ = r.n.control.pool.Call(addr, "Step", req, &control.Empty{}, stepTimeout)
		}
	}
}

// propose has a command applied by the group that this replica leads.
func (r *replicas) propose(id int, command []byte, wait time.Duration) ([]byte, error) {
	g := r.group(id)
	if g == nil {
		return nil, fault.New(fault.NotLeader, "this node has no replica of the group")
	}
	return g.propose(command, wait)
}

// readConfig returns the settings in force, confirmed by a quorum.
func (r *replicas) readConfig(wait time.Duration) (version uint64, entries settings.Entries, err error) {
	g := r.group(configGroup)
	if g == nil {
		return 0, nil, fault.New(fault.NotLeader, "this node has no replica")
	}
	err = g.read(wait, func() {
		store := g.sm.(*confMachine).store
		version, entries = store.Version(), store.Entries()
	})
	return version, entries, err
}
