// Package node is the daemon beside one backend server: a thin shell that
// moves requests and messages between the network and the pure packages that
// decide.
//
// Each request stays on the goroutine that read it. Beside the requests there
// is one goroutine for each duty: gossip, links to other failure domains,
// upkeep (leases, idle connections), and, where the node has a disk, the
// replica groups.
package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/umberthread/umberthread/admission"
	"github.com/umberthread/umberthread/budget"
	"github.com/umberthread/umberthread/burn"
	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/callers"
	"github.com/umberthread/umberthread/internal/control"
	"github.com/umberthread/umberthread/internal/latency"
	"github.com/umberthread/umberthread/internal/pathlevel"
	"github.com/umberthread/umberthread/internal/wire"
	"github.com/umberthread/umberthread/member"
	"github.com/umberthread/umberthread/route"
)

type wireField = wire.Field

// Node is one process. Its exported methods are safe for concurrent use.
type Node struct {
	opt   Options
	id    string
	log   log.Logger
	start time.Time

	conf   atomic.Pointer[config]
	confMu sync.Mutex

	routes atomic.Pointer[route.Snapshot]
	view   atomic.Pointer[view]
	// entered holds the paths of requests that entered here, nested those of
	// the calls that the backend server beside this node makes. They must be
	// apart: what is reported to the nodes above is only what lies below, or
	// two nodes would go on telling each other of an overload that is over.
	entered, nested pathlevel.Table
	peers           peers
	kinds           kindTable
	retryShares     sync.Map // service -> *budget.Share
	waits           sync.Map // called service -> *admission.Waits

	gate    *gate
	local   atomic.Pointer[local]
	localMu sync.Mutex
	works   sync.Map // token -> *work
	tokens  atomic.Uint64

	attempts atomic.Uint64
	life     life
	// seeds are control addresses of some nodes, from the settings.
	seeds atomic.Pointer[[]string]
	// stopAt is when the node began to stop, on its clock.
	stopAt atomic.Int64
	// withdrawn is set once a stopping node has told others that it leaves.
	withdrawn atomic.Bool
	// retired are the identities of backend servers that stood here before,
	// guarded by localMu.
	retired map[string]retirement
	// backendStarts counts the starts of backend servers beside this node.
	backendStarts uint32

	news       news
	quarantine *quarantiner
	stats      stats
	latencies  latency.Table
	// requestLog bounds the lines about requests.
	requestLog requestLog
	overload   atomic.Pointer[overload]
	traces     *last[Trace]
	events     *last[Event]
	burn       *burn.Tracker

	gossip   *gossiper
	replicas *replicas

	httpSrv  *http.Server
	adminSrv *http.Server
	wireSrv  *wire.Server
	control  *controlServer

	// dial and mayDatagram are the network, which tests cut.
	dial        control.Dialer
	mayDatagram func(addr string) bool

	stop chan struct{}
	wg   sync.WaitGroup
}

const (
	keptTraces = 4096
	keptEvents = 512
	idleMax    = 2 * time.Minute
	upkeep     = 250 * time.Millisecond

	headerTimeout  = 5 * time.Second
	maxHeaderBytes = 32 << 10
)

// New returns a node that is not yet running.
func New(o Options, logger log.Logger) (*Node, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	n := &Node{
		opt: o, id: newID(), log: logger, start: time.Now(),
		traces: newLast[Trace](keptTraces), events: newLast[Event](keptEvents),
		burn: burn.NewTracker(), retired: map[string]retirement{}, stop: make(chan struct{}),
		dial: control.DialTCP, mayDatagram: func(string) bool { return true },
	}
	n.quarantine = newQuarantiner(n)
	n.seeds.Store(&o.Bootstrap)
	n.gate = newGate(n.clock)
	n.peers.dial = func(addr string, timeout time.Duration) (net.Conn, error) { return n.dial(addr, timeout) }
	n.conf.Store(emptyConfig())
	n.routes.Store(&route.Snapshot{})
	n.view.Store(&view{})
	n.gossip = newGossiper(n)
	var err error
	n.replicas, err = openReplicas(n)
	return n, err
}

func newID() string {
	var b [8]byte
	// crypto/rand.Read never fails.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// ID returns the process's identity, new at each start.
func (n *Node) ID() string { return n.id }

// SetBootstrap replaces the control addresses of some nodes.
func (n *Node) SetBootstrap(addrs []string) { n.seeds.Store(&addrs) }

func (n *Node) bootstrap() []string { return *n.seeds.Load() }

// clock is the time since the start of the process, monotonic.
func (n *Node) clock() time.Duration { return time.Since(n.start) }

func (n *Node) newToken() string { return n.id + "-" + strconv.FormatUint(n.tokens.Add(1), 36) }

// Start listens on all addresses and begins the duties. It returns once the
// node serves.
func (n *Node) Start() error {
	lns, err := n.listen()
	if err != nil {
		return err
	}
	n.wireSrv = wire.NewServer(n.serveExchange, wire.ServerOptions{Heartbeat: n.opt.Heartbeat.Duration, Sweep: n.opt.Sweep.Duration, IdleTimeout: idleMax})
	n.adminSrv = &http.Server{Handler: n.adminRoutes(), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
	n.httpSrv = &http.Server{Handler: n.callerRoutes(), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, IdleTimeout: idleMax, ConnContext: callers.Context}
	n.control = newControlServer(n)
	n.duty("gossip", func() { n.gossip.run(lns.udp) })
	n.serve("control", func() error { return n.control.serve(lns.control) })
	n.duty("links", n.linkLoop)
	n.duty("upkeep", n.upkeepLoop)
	n.duty("refresh", n.refreshLoop)
	n.duty("find", n.findLoop)
	n.replicas.start()
	if n.opt.Found {
		n.duty("found", n.found)
	}
	n.serve("admin", func() error { return n.adminSrv.Serve(lns.admin) })
	n.awaitConfig()
	n.life.happen(nodeChart, configured)
	n.publishMeta()
	n.serve("data", func() error { return n.wireSrv.Serve(lns.data) })
	arrivals := callers.Listen(lns.http)
	n.duty("callers", func() { n.every(n.opt.Sweep.Duration, func(time.Time) { arrivals.Sweep() }) })
	n.serve("http", func() error { return n.httpSrv.Serve(arrivals) })
	n.info("node", "Serving.", "name", n.opt.Name, "failure_domain", n.opt.Domain, "http", n.opt.HTTP)
	return nil
}

type listeners struct {
	http, data, control, admin net.Listener
	udp                        *net.UDPConn
}

func (n *Node) listen() (*listeners, error) {
	var lns listeners
	for _, l := range []struct {
		addr string
		to   *net.Listener
	}{{n.opt.HTTP, &lns.http}, {n.opt.Data, &lns.data}, {n.opt.Control, &lns.control}, {n.opt.Admin, &lns.admin}} {
		ln, err := net.Listen("tcp", l.addr)
		if err != nil {
			return nil, fault.Wrap(fault.InvalidSetting, err, "cannot listen on "+l.addr)
		}
		*l.to = ln
	}
	ua, err := net.ResolveUDPAddr("udp", n.opt.Control)
	if err != nil {
		return nil, fault.Wrap(fault.InvalidSetting, err, "control address")
	}
	lns.udp, err = net.ListenUDP("udp", ua)
	if err != nil {
		return nil, fault.Wrap(fault.InvalidSetting, err, "cannot listen on UDP "+n.opt.Control)
	}
	return &lns, nil
}

func (n *Node) duty(_ string, run func()) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		run()
	}()
}

func (n *Node) serve(part string, run func() error) {
	go func() {
		err := run()
		if err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
			n.warn(part, "Stopped listening.", "err", err)
		}
	}()
}

// every runs a duty's work at a fixed interval until the node stops.
func (n *Node) every(d time.Duration, work func(now time.Time)) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		select {
		case <-n.stop:
			return
		case now := <-t.C:
			work(now)
		}
	}
}

// upkeepLoop is the duty that ends leases and notes overloads.
func (n *Node) upkeepLoop() {
	n.every(upkeep, func(now time.Time) {
		n.checkLease(now)
		n.watchLevel(now)
		n.quarantine.tidy()
	})
}

// refreshLoop is the duty that keeps idle connections known to be alive. A
// silent one holds it up for a while, and nothing else.
func (n *Node) refreshLoop() {
	n.every(upkeep, func(time.Time) { n.peers.refresh() })
}

// findTimeout bounds a ping of a node that could not be reached.
const findTimeout = 300 * time.Millisecond

// findLoop is the duty that looks for nodes that could not be reached.
func (n *Node) findLoop() {
	n.every(upkeep, func(time.Time) { n.peers.find(findTimeout) })
}

// overload is when the backend server beside the node was last overloaded.
type overload struct {
	Began time.Time `json:"began"`
	// Ended is the zero time while the overload lasts.
	Ended time.Time `json:"ended"`
}

// watchLevel notes when the admission level leaves 0 and returns to it.
func (n *Node) watchLevel(now time.Time) {
	l := n.gate.load().level
	last := n.overload.Load()
	on := last != nil && last.Ended.IsZero()
	switch {
	case l > 0 && !on:
		n.overload.Store(&overload{Began: now})
		n.event("admission", "The backend server is overloaded, level "+formatUint(uint64(l))+".")
	case l == 0 && on:
		n.overload.Store(&overload{last.Began, now})
		n.event("admission", "The overload is over after "+now.Sub(last.Began).Round(time.Millisecond).String()+".")
	}
}

// drainNotice is how long a stopping node goes on taking what other nodes
// send before they have heard that it leaves.
const drainNotice = 500 * time.Millisecond

// Stop leaves gracefully: it announces that the node leaves, takes no new
// work, and finishes what is in flight, for at most StopTimeout. It reports
// whether all was finished.
func (n *Node) Stop() bool {
	if !n.life.happen(nodeChart, stopEvent) {
		return true
	}
	n.stopAt.Store(int64(n.clock()))
	n.info("node", "Leaving.")
	deadline := time.Now().Add(n.opt.StopTimeout.Duration)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	most := n.opt.StopTimeout.Duration / 2
	time.Sleep(min(max(0, n.opt.StopNotice.Duration-drainNotice), most))
	n.awaitSuccessor(deadline.Add(-n.opt.StopTimeout.Duration / finishShare))
	n.withdrawn.Store(true)
	n.gossip.leave()
	time.Sleep(min(drainNotice, most))
	done := n.awaitIdle(deadline)
	if done {
		n.life.happen(nodeChart, idle)
	} else {
		n.life.happen(nodeChart, timedOut)
	}
	if err := n.httpSrv.Shutdown(ctx); err != nil {
		done = false
	}
	n.wireSrv.Close()
	n.closeParts()
	if !n.awaitDuties(time.Until(deadline) + stopTail) {
		n.info("node", "A duty has not ended in time; the process ends without it.")
	}
	n.info("node", "Stopped.", "finished", done)
	return done
}

// stopTail is how long beyond a stop's time the duties have to end. One that
// dials a node which does not answer would take up to two seconds, and has
// nothing to finish: what must last is synced when it is promised.
const stopTail = 150 * time.Millisecond

// awaitDuties waits until all duties have ended; false if they take longer.
func (n *Node) awaitDuties(most time.Duration) bool {
	ended := make(chan struct{})
	go func() {
		n.wg.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return true
	case <-time.After(most):
		return false
	}
}

const (
	// successorLook is how often a stopping node looks for another instance.
	successorLook = 20 * time.Millisecond
	// finishShare is the part of the stop that is kept for the requests in
	// flight, one in so many: twice what the slowest hundredth of the usual
	// kinds takes, at a stop of six seconds.
	finishShare = 3
)

// awaitSuccessor waits until another instance of the backend server's service
// can be reached, at most until the time given. Rolling stops of two nodes, or
// one that meets a cut, would else leave the service without any for the second
// or two that a stop and a start take.
func (n *Node) awaitSuccessor(until time.Time) {
	be := n.local.Load()
	if be == nil || be.state != member.Serving {
		return
	}
	for time.Now().Before(until) && !n.routes.Load().Has(be.service, n.id, n.clock()) {
		time.Sleep(successorLook)
	}
}

// awaitIdle waits until no request is in flight. A look every few
// milliseconds costs less than a counter with a condition on every request.
func (n *Node) awaitIdle(deadline time.Time) bool {
	const look = 5 * time.Millisecond
	for time.Now().Before(deadline) {
		l := n.gate.load()
		if l.inflight == 0 && l.queued == 0 && n.stats.inflight.Load() == 0 {
			return true
		}
		time.Sleep(look)
	}
	return false
}

// Close ends the process's parts at once, and waits until its duties have ended.
func (n *Node) Close() {
	n.closeParts()
	n.wg.Wait()
}

func (n *Node) closeParts() {
	select {
	case <-n.stop:
		return
	default:
		close(n.stop)
	}
	_ = n.httpSrv.Close()
	_ = n.adminSrv.Close()
	n.wireSrv.Close()
	n.control.close()
	n.gossip.close()
}

func (n *Node) info(part, text string, kv ...any) {
	_ = level.Info(n.log).Log(append([]any{"part", part, "msg", text}, kv...)...)
}

func (n *Node) warn(part, text string, kv ...any) {
	_ = level.Warn(n.log).Log(append([]any{"part", part, "msg", text}, kv...)...)
}

// event logs a decision of note and keeps it for umberctl events.
func (n *Node) event(part, text string) {
	n.info(part, text)
	n.remember(part, text)
}

// remember keeps a decision for umberctl events.
func (n *Node) remember(part, text string) {
	n.events.add(Event{Time: time.Now(), Node: n.opt.Name, Domain: n.opt.Domain, Part: part, Text: text})
}

// served is the share of served requests that are traced: one in so many.
const servedTraceEvery = 64

// record traces a request that has its answer, and books it on the
// objective of its kind if it entered here.
func (n *Node) record(c *call, code fault.Code, run fault.Run) {
	took := time.Since(c.started)
	n.latencies.Observe(c.rank.Class().String(), code.String(), took)
	if c.depth == 0 {
		n.burn.Record(c.root, time.Now(), code == fault.None && took <= c.policy.ObjectiveWithin, code)
	}
	sampled := code == fault.None && n.stats.served.Add(1)%servedTraceEvery == 0
	n.logRequest(c, code, run, took, sampled)
	if code == fault.None && c.attempts <= 1 && !sampled {
		return
	}
	n.traces.add(Trace{
		Time: time.Now(), RequestID: c.id, Target: c.target, Root: c.root, Rank: uint16(c.rank), Depth: c.depth,
		Attempts: c.attempts, Spent: c.pool.Spent(), Level: uint16(n.entered.Level(c.root, n.clock())),
		Reason: code.String(), Run: run.String(), TookUs: took.Microseconds(),
	})
}

// retries returns the share of retries of a service.
func (n *Node) retries(service string) *budget.Share {
	if v, ok := n.retryShares.Load(service); ok {
		return v.(*budget.Share)
	}
	v, _ := n.retryShares.LoadOrStore(service, &budget.Share{})
	return v.(*budget.Share)
}

// takeWait counts a nested call against the share of this node's slots that may wait
// on one called service.
func (n *Node) takeWait(c *call) (*admission.Waits, bool) {
	v, ok := n.waits.Load(c.service)
	if !ok {
		v, _ = n.waits.LoadOrStore(c.service, &admission.Waits{})
	}
	w := v.(*admission.Waits)
	be := n.local.Load()
	if be == nil {
		w.Hold()
		return w, true
	}
	return w, w.Take(be.slots, c.policy.ShareMax, c.rank)
}

// noteFailure tells about an instance that this node could not reach.
func (n *Node) noteFailure(in *route.Instance, e *fault.Error) {
	if in.Seen.JustEjected() {
		n.event("route", "Ejected "+in.ID+" at "+in.Addr+" after "+e.Code.String()+".")
	}
}
