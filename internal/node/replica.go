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
	"github.com/umberthread/umberthread/internal/disk"
	"github.com/umberthread/umberthread/internal/links"
	"github.com/umberthread/umberthread/internal/ring"
	"github.com/umberthread/umberthread/internal/wal"
	"github.com/umberthread/umberthread/raft"
	"github.com/umberthread/umberthread/settings"
)

const (
	// configGroup is the group that holds the operators' settings. The groups after
	// it are the shards of the idempotency keys.
	configGroup = 0
	// identityFile is the file in the data folder that holds the replica's identity.
	identityFile = "identity"
	// groupPrefix begins the names of the groups' subfolders.
	groupPrefix = "group-"
	// damagedPrefix begins the names of the subfolders to which damaged data is moved.
	damagedPrefix = "lost-"
	// sendQueueSize is how many messages are queued for one node, and sendQueueBytes the size of
	// the commands and snapshots in them. One message more than that size may be queued. What is
	// dropped is sent again by the leader.
	sendQueueSize  = 1024
	sendQueueBytes = 2 << 20
	// stepTimeout bounds one RPC to another replica.
	stepTimeout = time.Second
)

// replicas holds this node's replicas of all groups. A node without a data folder
// has none.
type replicas struct {
	node   *Node
	id     string
	groups []*group

	mu      sync.Mutex
	senders map[string]*sender

	// verifiedPeers are the replicas that recently confirmed their identity, nil
	// while this node leads no group.
	verifiedPeers atomic.Pointer[[]raft.Peer]
}

// outgoingMessage is a raft message queued for another node.
type outgoingMessage struct {
	group int
	msg   raft.Message
}

const (
	// openRetryTime is how long a start waits for a disk that refuses calls. Then the
	// process ends, and whoever runs it starts it again.
	openRetryTime = 3 * time.Second
	// minOpenRetryDelay and maxOpenRetryDelay bound the time between two tries, which
	// doubles.
	minOpenRetryDelay = 20 * time.Millisecond
	maxOpenRetryDelay = 500 * time.Millisecond
)

// openReplicas opens the replicas in the data folder, and tries again for a while if
// the disk refuses calls.
func openReplicas(n *Node) (*replicas, error) {
	r := &replicas{node: n, senders: map[string]*sender{}}
	if n.opt.DataFolder == "" {
		return r, nil
	}
	begun, delay := time.Now(), minOpenRetryDelay
	err := r.openOrSetAside()
	if fault.CodeOf(err) == fault.DiskRefused {
		n.warn("replica", "The disk refuses calls; trying again to open the data folder.", "for", openRetryTime, "err", err)
		n.recordEvent("replica", "The disk refuses calls: "+err.Error())
	}
	for fault.CodeOf(err) == fault.DiskRefused && time.Since(begun) < openRetryTime {
		time.Sleep(delay)
		delay = min(2*delay, maxOpenRetryDelay)
		if err = r.openOrSetAside(); err == nil {
			n.logEvent("replica", "The disk accepts calls again after "+time.Since(begun).Round(time.Millisecond).String()+".")
		}
	}
	return r, err
}

// openOrSetAside opens the groups. A damaged folder counts as a lost disk: its contents
// are moved aside and the replica starts empty under a new identity, because votes and
// entries of the old one may be lost. A disk that refuses calls has lost nothing.
func (r *replicas) openOrSetAside() error {
	err := r.openGroups()
	if fault.CodeOf(err) != fault.Corrupt {
		return err
	}
	r.node.logEvent("replica", "The data folder is damaged and set aside: "+err.Error())
	if err := moveAside(r.node.dataFolder()); err != nil {
		return err
	}
	return r.openGroups()
}

// dataFolder returns the data folder.
func (n *Node) dataFolder() disk.Folder {
	f := disk.Folder{FS: n.opt.disk, Path: n.opt.DataFolder}
	if f.FS == nil {
		f.FS = disk.OS{}
	}
	return f
}

// moveAside moves the contents of the folder into a new subfolder. The identity goes
// first, durably: with a part of its groups it would be taken for sound, while groups
// without an identity are set aside again.
func moveAside(dir disk.Folder) error {
	target := dir.Folder(damagedPrefix + strconv.FormatInt(time.Now().UnixNano(), 36))
	err := target.Create()
	if err == nil {
		err = dir.Sync()
	}
	if err == nil {
		err = moveItems(dir, target, func(name string) bool { return name == identityFile })
	}
	if err == nil {
		err = moveItems(dir, target, func(name string) bool { return !strings.HasPrefix(name, damagedPrefix) })
	}
	if err != nil {
		return fault.Wrap(fault.DiskRefused, err, "cannot set the data folder aside")
	}
	return nil
}

// moveItems durably moves the items whose names match into another folder. A loss of power
// meanwhile may leave an item in either folder, in both or in none.
func moveItems(from, to disk.Folder, matches func(name string) bool) error {
	names, err := from.Names()
	if err != nil {
		return err
	}
	for _, name := range names {
		if !matches(name) {
			continue
		}
		if err := from.Rename(from.Join(name), to.Join(name)); err != nil {
			return err
		}
	}
	if err := to.Sync(); err != nil {
		return err
	}
	return from.Sync()
}

// openGroups opens all groups in the data folder, which it creates if necessary. If it
// fails, none is open.
func (r *replicas) openGroups() error {
	err := r.openEachGroup(r.node.dataFolder())
	if err != nil {
		for _, g := range r.groups {
			g.writer.log.Close()
		}
		r.groups = nil
	}
	return err
}

// openEachGroup opens the groups in the folder one after another.
func (r *replicas) openEachGroup(dir disk.Folder) error {
	if err := createDataFolder(dir); err != nil {
		return fault.Wrap(fault.DiskRefused, err, "cannot create the data folder")
	}
	if err := r.loadIdentity(dir); err != nil {
		return err
	}
	for id := 0; id <= r.node.opt.Shards; id++ {
		w, loaded, err := wal.OpenFolder(dir.Folder(groupFolder(id)))
		if err != nil {
			return err
		}
		if r.node.opt.SyncHold != "" {
			w.SetBeforeSync(r.node.awaitSyncRelease)
		}
		var m stateMachine = &claimMachine{}
		if id == configGroup {
			m = &configMachine{node: r.node}
		}
		g, err := openGroup(r, id, newLogWriter(r.wrapLog(w)), loaded, m)
		if err != nil {
			w.Close()
			return err
		}
		r.groups = append(r.groups, g)
	}
	// A group's folder that a loss of power takes away would leave the identity without
	// the votes and entries that it gave.
	if err := dir.Sync(); err != nil {
		return fault.Wrap(fault.DiskRefused, err, "cannot sync the data folder")
	}
	return nil
}

// createDataFolder creates the data folder and its parents if necessary, and makes the
// names of those that it created durable.
func createDataFolder(dir disk.Folder) error {
	created := []string{}
	for path := dir.Path; ; path = filepath.Dir(path) {
		if _, err := dir.List(path); !errors.Is(err, os.ErrNotExist) {
			break
		}
		created = append(created, path)
	}
	if err := dir.Create(); err != nil {
		return err
	}
	for _, path := range created {
		if err := dir.SyncFolder(filepath.Dir(path)); err != nil {
			return err
		}
	}
	return nil
}

// groupFolder returns the name of a group's folder in the data folder.
func groupFolder(id int) string { return groupPrefix + strconv.Itoa(id) }

// wrapLog applies the drill Options.WriteRefusal and the test hook Options.wrapLog, if set.
func (r *replicas) wrapLog(log replicaLog) replicaLog {
	if r.node.opt.WriteRefusal != "" {
		log = &fullDiskLog{log, r.node.opt.WriteRefusal}
	}
	if r.node.opt.wrapLog == nil {
		return log
	}
	return r.node.opt.wrapLog(log)
}

// loadIdentity reads the replica's identity, or creates one in an empty folder. A
// folder with groups but no identity is corrupt.
func (r *replicas) loadIdentity(dir disk.Folder) error {
	b, err := dir.ReadFile(dir.Join(identityFile))
	switch {
	case err == nil && len(b) == len(newID()):
		r.id = string(b)
		return nil
	case err == nil:
		return fault.New(fault.Corrupt, "the replica's identity is damaged")
	case !errors.Is(err, os.ErrNotExist):
		return fault.Wrap(fault.DiskRefused, err, "cannot read the replica's identity")
	}
	names, err := dir.Names()
	if err != nil {
		return fault.Wrap(fault.DiskRefused, err, "cannot read the data folder")
	}
	if slices.ContainsFunc(names, func(name string) bool { return strings.HasPrefix(name, groupPrefix) }) {
		return fault.New(fault.Corrupt, "the replica's identity is missing")
	}
	// Groups that a killed start has set aside must not come back under a new identity.
	if err := dir.Sync(); err != nil {
		return fault.Wrap(fault.DiskRefused, err, "cannot sync the data folder")
	}
	// A start that was killed may have created the data folder and its parents without a
	// sync. A folder that this process may not sync was made by somebody else.
	for path := dir.Path; path != filepath.Dir(path); path = filepath.Dir(path) {
		_ = dir.SyncFolder(filepath.Dir(path))
	}
	r.id = newID()
	if err := dir.ReplaceFile(identityFile, []byte(r.id)); err != nil {
		return fault.Wrap(fault.DiskRefused, err, "cannot write the replica's identity")
	}
	return nil
}

const (
	// verifyInterval is the time between two identity checks of the known replicas,
	// and urgentVerifyInterval the same while a membership change is due.
	verifyInterval       = 500 * time.Millisecond
	urgentVerifyInterval = 100 * time.Millisecond
)

// verifyLoop checks the identities of the replicas known from gossip while this
// node leads a group, because gossip may still name an identity that was lost with
// its disk. While a membership change is due it also asks the bootstrap addresses
// and the voters' addresses, where a replica may run that gossip does not know.
func (r *replicas) verifyLoop() {
	rounds := 0
	check := newIdentityCheck(r.confirmsIdentity)
	r.node.runEvery(urgentVerifyInterval, func(time.Time) {
		rounds++
		if !r.leadsAny() {
			// Results from an earlier leadership are stale: they could move a member
			// back to an address that it has left.
			r.verifiedPeers.Store(nil)
			check = newIdentityCheck(r.confirmsIdentity)
			return
		}
		due := r.membershipChangeDue()
		if !due && rounds%int(verifyInterval/urgentVerifyInterval) != 0 {
			return
		}
		peers := r.node.view.Load().replicas
		if due {
			peers = append(peers[:len(peers):len(peers)], r.identifyReplicas(peers)...)
		}
		alive := check.run(peers, urgentVerifyInterval)
		r.verifiedPeers.Store(&alive)
	})
}

// membershipChangeDue reports whether a group that this node leads needs a
// membership change.
func (r *replicas) membershipChangeDue() bool {
	for _, g := range r.groups {
		if g.leads.Load() && !g.settled.Load() {
			return true
		}
	}
	return false
}

// identifyReplicas asks the bootstrap addresses and the addresses of the groups'
// voters for replicas, and returns those that are not known yet.
func (r *replicas) identifyReplicas(known []raft.Peer) []raft.Peer {
	asked := map[string]bool{r.node.opt.AdvertiseControl: true}
	var (
		wg  sync.WaitGroup
		mu  sync.Mutex
		out []raft.Peer
	)
	for _, addr := range r.node.entryAddrs() {
		if asked[addr] {
			continue
		}
		asked[addr] = true
		wg.Add(1)
		go func() {
			defer wg.Done()
			p, ok := r.identifyReplica(addr)
			if !ok || slices.Contains(known, p) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, p)
		}()
	}
	wg.Wait()
	return out
}

// identifyReplica asks an address for its replica.
func (r *replicas) identifyReplica(addr string) (raft.Peer, bool) {
	var reply control.IdentityReply
	err := r.node.control.pool.Call(addr, "Identity", &control.Empty{}, &reply, urgentVerifyInterval)
	p := raft.Peer{ID: reply.ID, Addr: cmp.Or(reply.Addr, addr), Domain: reply.Domain}
	return p, err == nil && reply.ID != ""
}

// voterAddrs returns the control addresses of the groups' voters.
func (r *replicas) voterAddrs() []string {
	var out []string
	for _, g := range r.groups {
		if conf := g.conf.Load(); conf != nil {
			for _, p := range conf.Voters {
				out = append(out, p.Addr)
			}
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// hasOtherVoters reports whether a group has a voter at another address than this node's.
func (r *replicas) hasOtherVoters() bool {
	for _, g := range r.groups {
		conf := g.conf.Load()
		if conf != nil && slices.ContainsFunc(conf.Voters, func(p raft.Peer) bool { return p.Addr != r.node.opt.AdvertiseControl }) {
			return true
		}
	}
	return false
}

// unmetDomain returns another failure domain that has a voter of a group and is not among the
// given ones, or "".
func (r *replicas) unmetDomain(met map[string]links.RemoteDomain) string {
	for _, g := range r.groups {
		conf := g.conf.Load()
		if conf == nil {
			continue
		}
		for _, p := range conf.Voters {
			if _, ok := met[p.Domain]; !ok && p.Domain != "" && p.Domain != r.node.opt.Domain {
				return p.Domain
			}
		}
	}
	return ""
}

// leads reports whether this node leads a group.
func (r *replicas) leads(id int) bool {
	g := r.group(id)
	return g != nil && g.leads.Load()
}

// leadsAny reports whether this node leads a group.
func (r *replicas) leadsAny() bool {
	for _, g := range r.groups {
		if g.leads.Load() {
			return true
		}
	}
	return false
}

// confirmsIdentity reports whether a replica confirms its identity at its address.
func (r *replicas) confirmsIdentity(p raft.Peer) bool {
	var reply control.IdentityReply
	err := r.node.control.pool.Call(p.Addr, "Identity", &control.Empty{}, &reply, stepTimeout)
	return err == nil && reply.ID == p.ID
}

// verifiedReplicas returns the replicas that recently confirmed their identity.
func (r *replicas) verifiedReplicas() []raft.Peer {
	if p := r.verifiedPeers.Load(); p != nil {
		return slices.Clip(*p)
	}
	return nil
}

// start starts the background tasks of the replicas.
func (r *replicas) start() {
	if len(r.groups) > 0 {
		r.node.startTask("verify", r.verifyLoop)
	}
	for _, g := range r.groups {
		r.node.startTask("replica", g.run)
		r.node.startTask("log writer", func() { g.writer.run(r.node.stop) })
	}
}

// identity returns the identity of this node's replica, or "" if it has none.
func (r *replicas) identity() string {
	if r == nil {
		return ""
	}
	return r.id
}

// belongsToGroup reports whether this replica belongs to a group.
func (r *replicas) belongsToGroup() bool {
	if len(r.groups) == 0 {
		return false
	}
	conf := r.groups[configGroup].conf.Load()
	return conf != nil && len(conf.Voters) > 0
}

// formGroups creates the groups with this replica as their first member. An
// operator requests it once; a replica that lost its disk must never do it by
// itself, as that would create a second set of groups.
func (r *replicas) formGroups() error {
	if len(r.groups) == 0 {
		return fault.New(fault.BadRequest, "this node has no data folder")
	}
	if r.belongsToGroup() {
		return fault.New(fault.Conflict, "this replica already belongs to a group")
	}
	self := raft.Peer{ID: r.id, Addr: r.node.opt.AdvertiseControl, Domain: r.node.opt.Domain}
	// The settings group is the last one: while it is missing, a failed attempt is repeated.
	for i, g := range slices.Backward(r.groups) {
		err := g.form(self)
		if err == nil {
			continue
		}
		if i < len(r.groups)-1 {
			// Groups that another node forms would be second ones beside those formed here.
			return fault.Wrap(fault.CodeOf(err), err, "some groups are formed; repeat this at the same node").WithUnknownExecution()
		}
		return err
	}
	return nil
}

// form creates the group with this replica as its only voter, and waits for it. It does nothing
// if an earlier attempt has created a group of idempotency keys.
func (g *group) form(self raft.Peer) error {
	done := make(chan error, 1)
	ok := g.enqueue(func() {
		if conf := g.core.Conf(); g.id != configGroup && (conf.IsVoter(self.ID) || conf.IsLearner(self.ID)) {
			done <- nil
			return
		}
		done <- g.formWithSelf(self)
	})
	if !ok {
		return fault.New(fault.Overload, "the replica's inbox is full")
	}
	select {
	case err := <-done:
		return err
	case <-g.replicas.node.stop:
		return fault.New(fault.Draining, "the node is stopping").WithUnknownExecution()
	}
}

// formWithSelf creates the group with this replica as its only voter.
func (g *group) formWithSelf(self raft.Peer) error {
	if len(g.core.Conf().Voters) > 0 {
		return fault.New(fault.Conflict, "this replica already belongs to a group")
	}
	snap := raft.InitialSnapshot(self, nil)
	st := raft.HardState{Term: snap.Term, Commit: snap.Index}
	if err := g.resetLogAndWait(&logReset{creates: true, snapshot: snap, state: &st}); err != nil {
		return err
	}
	next, err := openGroup(g.replicas, g.id, g.writer, wal.Contents{State: st, Snapshot: snap}, g.sm)
	if err != nil {
		return err
	}
	g.core = next.core
	// A save of the former core must not advance this one, and the log is whole again.
	g.forgetRefusedWrites()
	g.core.Campaign()
	return nil
}

// group returns the group with an id, or nil if this node has no replica of it.
func (r *replicas) group(id int) *group {
	if id < 0 || id >= len(r.groups) {
		return nil
	}
	return r.groups[id]
}

// stepGroup passes received messages to a group.
func (r *replicas) stepGroup(id int, ms []raft.Message) {
	g := r.group(id)
	if g == nil {
		return
	}
	// A full inbox drops the messages; raft tolerates loss.
	g.enqueue(func() {
		if g.failed {
			return
		}
		for _, m := range ms {
			g.core.Step(m)
		}
	})
}

// memberAddr returns the control address of a voter or learner, or "".
func (r *replicas) memberAddr(conf raft.Conf, id string) string {
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

// sendMessages queues messages for the senders of their destinations. The queue of
// an unresponsive destination fills and drops messages; raft resends them.
func (r *replicas) sendMessages(g *group, ms []raft.Message) {
	if len(ms) == 0 {
		return
	}
	conf := g.core.Conf()
	for _, m := range ms {
		for _, addr := range r.addrsOf(conf, m.To) {
			r.sender(addr).offer(outgoingMessage{g.id, m})
		}
	}
}

// addrsOf returns the addresses at which a replica may be: those in the membership and those
// known from elsewhere. A member that has moved is needed to elect the leader that records its
// new address, and a learner has to respond to its leader before it has received the membership.
func (r *replicas) addrsOf(conf raft.Conf, id string) []string {
	var addrs []string
	for _, ps := range [...][]raft.Peer{conf.Voters, conf.Learners, r.verifiedReplicas(), r.node.view.Load().replicas} {
		for _, p := range ps {
			if p.ID == id && !slices.Contains(addrs, p.Addr) {
				addrs = append(addrs, p.Addr)
			}
		}
	}
	return addrs
}

// sender sends the messages for one address, in order.
type sender struct {
	queue *ring.Queue[outgoingMessage]
	// queuedBytes is the size of the messages that are queued or being sent, and droppedLarge
	// counts those dropped because of it.
	queuedBytes, droppedLarge atomic.Int64
}

// newSender returns a sender without messages.
func newSender() *sender { return &sender{queue: ring.New[outgoingMessage](sendQueueSize)} }

// offer queues a message, unless those that wait are too many or too large.
func (s *sender) offer(o outgoingMessage) {
	size := int64(o.msg.DataBytes())
	if size > 0 && s.queuedBytes.Load() >= sendQueueBytes {
		s.droppedLarge.Add(1)
		return
	}
	s.queuedBytes.Add(size)
	if !s.queue.Offer(o) {
		s.queuedBytes.Add(-size)
	}
}

// dropped returns the number of messages dropped so far.
func (s *sender) dropped() int64 { return s.queue.Dropped() + s.droppedLarge.Load() }

// sender returns the sender for an address, and starts it if it is new.
func (r *replicas) sender(addr string) *sender {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.senders[addr]
	if s == nil {
		s = newSender()
		r.senders[addr] = s
		r.node.startTask("sender", func() { r.sendLoop(addr, s) })
	}
	return s
}

// sendLoop sends the messages queued for one address, batched by group.
func (r *replicas) sendLoop(addr string, s *sender) {
	for {
		var first outgoingMessage
		select {
		case <-r.node.stop:
			return
		case first = <-s.queue.C():
		}
		batches, size := map[int][]raft.Message{first.group: {first.msg}}, first.msg.DataBytes()
		for more := true; more && size < maxAppendBytes; {
			select {
			case o := <-s.queue.C():
				batches[o.group] = append(batches[o.group], o.msg)
				size += o.msg.DataBytes()
			default:
				more = false
			}
		}
		for id, ms := range batches {
			req := &control.StepRequest{Group: id, Messages: ms}
			_ = r.node.control.pool.Call(addr, "Step", req, &control.Empty{}, stepTimeout)
		}
		s.queuedBytes.Add(int64(-size))
	}
}

// propose commits a command in a group that this node leads and returns its result.
func (r *replicas) propose(id int, command []byte, wait time.Duration) ([]byte, error) {
	g := r.group(id)
	if g == nil {
		return nil, fault.New(fault.NotLeader, "this node has no replica of the group")
	}
	return g.propose(command, wait)
}

// readConfig returns the current settings from a linearizable read.
func (r *replicas) readConfig(wait time.Duration) (version uint64, entries settings.Entries, err error) {
	g := r.group(configGroup)
	if g == nil {
		return 0, nil, fault.New(fault.NotLeader, "this node has no replica")
	}
	err = g.readLinearizable(wait, func() {
		store := g.sm.(*configMachine).store
		version, entries = store.Version(), store.Entries()
	})
	return version, entries, err
}

// readConfigVersion returns the version of the current settings from a linearizable read.
func (r *replicas) readConfigVersion(wait time.Duration) (version uint64, err error) {
	g := r.group(configGroup)
	if g == nil {
		return 0, fault.New(fault.NotLeader, "this node has no replica")
	}
	err = g.readLinearizable(wait, func() { version = g.sm.(*configMachine).store.Version() })
	return version, err
}
