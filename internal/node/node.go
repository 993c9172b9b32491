// Package node implements the daemon that runs beside one backend server. It
// does the network and disk I/O for the packages that make the decisions (such as
// admission, route, gossip and raft), which do none themselves.
//
// Each request is handled on the goroutine that read it. Separate background
// tasks run gossip, exchanges with other failure domains, maintenance (leases,
// idle connections) and, on a node with a data folder, the replica groups.
package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net"
	"net/http"
	"slices"
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
	"github.com/umberthread/umberthread/internal/inbound"
	"github.com/umberthread/umberthread/internal/latency"
	"github.com/umberthread/umberthread/internal/pathlevel"
	"github.com/umberthread/umberthread/internal/sock"
	"github.com/umberthread/umberthread/internal/wire"
	"github.com/umberthread/umberthread/member"
	"github.com/umberthread/umberthread/route"
)

// wireField is a header field as it is sent between nodes.
type wireField = wire.Field

// Node is the state of one daemon process. Its exported methods are safe for
// concurrent use.
type Node struct {
	opt   Options
	id    string
	log   log.Logger
	start time.Time

	// conf holds the active settings. confMu serialises changes to it.
	conf   atomic.Pointer[config]
	confMu sync.Mutex

	routes atomic.Pointer[route.Snapshot]
	view   atomic.Pointer[membershipView]
	// entryLevels holds the admission levels on the paths of requests that
	// callers sent to this node, and nestedLevels those on the paths of calls that
	// its backend server makes. Only nestedLevels is reported upstream; otherwise
	// two nodes could keep echoing an overload that has ended.
	entryLevels, nestedLevels pathlevel.Table
	peers                     peerClients
	kinds                     kindIndexes
	retryThrottles            sync.Map // service -> *budget.Throttle
	arrivals                  arrivalLimits
	bulkheads                 sync.Map // called service -> *admission.Bulkhead

	gate *admissionGate
	// local is the backend server, nil if there is none. localMu serialises changes.
	local             atomic.Pointer[localBackend]
	localMu           sync.Mutex
	executionsByToken sync.Map // token -> *execution, requests in flight at the backend server
	lastToken         atomic.Uint64

	lastAttemptID atomic.Uint64
	// state is the node's state in the node chart.
	state atomicState
	// bootstrapAddrs are the configured control addresses of other nodes.
	bootstrapAddrs atomic.Pointer[[]string]
	// stopStarted is when the graceful stop began, in nanoseconds on the node's clock.
	stopStarted atomic.Int64
	// departureAnnounced is set just before a stopping node announces that it leaves.
	departureAnnounced atomic.Bool
	// retiredIncarnations maps the identity of a backend server to its latest
	// incarnation that has ended for good, and leavingIncarnations to the latest one that
	// said that it is leaving. They are guarded by localMu.
	retiredIncarnations, leavingIncarnations incarnationRecords
	// rateLimitOwner is the incarnation whose rate limit the gate holds. It is guarded by
	// localMu.
	rateLimitOwner incarnationID
	// backendIncarnations counts the incarnations of backend servers beside this
	// node. It is guarded by localMu.
	backendIncarnations uint32

	versions   versionTracker
	quarantine *quarantineManager
	stats      requestCounters
	latencies  latency.Table
	// unanswered counts the sent requests that ended without a response.
	unanswered unansweredCounters
	// requestLog rate-limits the log lines about requests.
	requestLog requestLogLimiter
	// rateLimitLog limits the log lines about the backend server's rate limit.
	rateLimitLog lineLimiter
	// contradictionLog limits the log lines about announcements of other servers.
	contradictionLog lineLimiter
	lastOverload     atomic.Pointer[overloadPeriod]
	traces           *recentItems[Trace]
	events           *recentItems[Event]
	burn             *burn.Tracker

	// serverReports holds what other nodes report of their backend servers.
	serverReports serverReports

	gossip   *gossiper
	replicas *replicas
	quotas   *quotas
	pauses   pauseDetector
	doubts   doubtTracker
	// startupWaiters counts the requests that wait while the node finds the instances.
	startupWaiters atomic.Int64

	// inbound bounds what all servers of the process hold for those that connect.
	inbound  *inbound.Gate
	httpSrv  *http.Server
	adminSrv *http.Server
	wireSrv  *wire.Server
	control  *controlServer

	// dial opens connections and allowDatagram permits datagrams. Tests replace
	// them to simulate partitions.
	dial          control.Dialer
	allowDatagram func(addr string) bool

	stop chan struct{}
	wg   sync.WaitGroup
}

const (
	// maxTraces and maxEvents bound the traces and events kept for umberctl.
	maxTraces = 4096
	maxEvents = 512
	// connIdleTimeout is when idle connections of callers and peers are closed.
	connIdleTimeout     = 2 * time.Minute
	maintenanceInterval = 250 * time.Millisecond
)

// New returns a node that has not been started. It opens the data folder, if
// there is one.
func New(o Options, logger log.Logger) (*Node, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	n := &Node{
		opt: o, id: newID(), log: logger, start: time.Now(),
		traces: newRecentItems[Trace](maxTraces), events: newRecentItems[Event](maxEvents),
		burn: burn.NewTracker(), retiredIncarnations: incarnationRecords{}, leavingIncarnations: incarnationRecords{}, stop: make(chan struct{}),
		dial: control.DialTCP, allowDatagram: func(string) bool { return true },
	}
	n.inbound = inbound.NewGate(inbound.Options{MemoryBytes: o.MemoryBytes, Descriptors: o.MaxDescriptors})
	n.quarantine = newQuarantineManager(n)
	n.bootstrapAddrs.Store(&o.Bootstrap)
	n.gate = newAdmissionGate(n.clock)
	n.peers.dial = func(addr string, timeout time.Duration) (net.Conn, error) { return n.dial(addr, timeout) }
	n.conf.Store(emptyConfig())
	n.routes.Store(&route.Snapshot{})
	n.view.Store(&membershipView{})
	n.gossip = newGossiper(n)
	n.quotas = newQuotas(n)
	var err error
	n.replicas, err = openReplicas(n)
	return n, err
}

// newID returns a random identity of a process or replica.
func newID() string {
	var b [8]byte
	// crypto/rand.Read never fails.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// ID returns the process's identity, new at each start.
func (n *Node) ID() string { return n.id }

// Inbound returns the bounds that all servers of the process share.
func (n *Node) Inbound() *inbound.Gate { return n.inbound }

// SetBootstrap replaces the configured control addresses of other nodes.
func (n *Node) SetBootstrap(addrs []string) { n.bootstrapAddrs.Store(&addrs) }

// bootstrap returns the configured control addresses of other nodes.
func (n *Node) bootstrap() []string { return *n.bootstrapAddrs.Load() }

// entryAddrs returns the control addresses at which other nodes may be found although no
// node is known: the configured ones and, on a replica, those of the voters on its disk.
func (n *Node) entryAddrs() []string {
	return slices.Concat(n.bootstrap(), n.replicas.voterAddrs())
}

// clock returns the monotonic time since the node was created.
func (n *Node) clock() time.Duration { return time.Since(n.start) }

// newToken returns a token that no other process uses.
func (n *Node) newToken() string { return n.id + "-" + strconv.FormatUint(n.lastToken.Add(1), 36) }

// Start listens on all addresses and starts the background tasks. It returns
// once the node serves requests.
func (n *Node) Start() error {
	lns, err := n.listen()
	if err != nil {
		return err
	}
	n.wireSrv = wire.NewServer(n.servePeerRequest, wire.ServerOptions{Heartbeat: n.opt.Heartbeat.Duration, Sweep: n.opt.Sweep.Duration, IdleTimeout: connIdleTimeout})
	n.adminSrv = inbound.HTTPServer(n.adminRoutes(), inbound.Operators)
	n.httpSrv = inbound.HTTPServer(n.callerRoutes(), inbound.Callers)
	withInbound := n.httpSrv.ConnContext
	n.httpSrv.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return callers.ConnContext(withInbound(ctx, c), c)
	}
	n.control = newControlServer(n)
	n.gossip.udp = lns.udp
	n.startTask("gossip", n.gossip.run)
	n.serveInBackground("control", func() error { return n.control.serve(lns.control) })
	n.startTask("links", n.linkLoop)
	n.startTask("upkeep", n.maintenanceLoop)
	n.startTask("confirm", n.confirmLoop)
	n.startTask("quotas", n.quotas.loop)
	n.startTask("refresh", n.refreshPeersLoop)
	n.startTask("find", n.probeLostPeersLoop)
	n.replicas.start()
	if n.opt.FormGroups {
		n.startTask("found", n.formOnFirstStart)
	}
	n.serveInBackground("admin", func() error { return n.adminSrv.Serve(lns.admin) })
	n.awaitConfig()
	n.state.applyEvent(nodeChart, nodeEventConfigured)
	n.publishMeta()
	n.serveInBackground("data", func() error { return n.wireSrv.Serve(lns.data) })
	arrivals := callers.NewListener(lns.http)
	n.startTask("callers", func() { n.runEvery(n.opt.Sweep.Duration, func(time.Time) { arrivals.CheckDisconnects() }) })
	n.serveInBackground("http", func() error { return n.httpSrv.Serve(arrivals) })
	n.info("node", "Serving.", "name", n.opt.Name, "failure_domain", n.opt.Domain, "http", n.opt.HTTP)
	return nil
}

// listeners are the sockets on which a node listens.
type listeners struct {
	http, data, control, admin net.Listener
	udp                        *net.UDPConn
}

// listen opens all sockets of the node.
func (n *Node) listen() (*listeners, error) {
	var lns listeners
	for _, l := range []struct {
		part, addr string
		to         *net.Listener
		limits     inbound.Limits
	}{
		{"http", n.opt.HTTP, &lns.http, inbound.Callers}, {"data", n.opt.Data, &lns.data, inbound.PeerRequests},
		{"control", n.opt.Control, &lns.control, inbound.PeerControl}, {"admin", n.opt.Admin, &lns.admin, inbound.Operators},
	} {
		ln, err := net.Listen("tcp", l.addr)
		if err != nil {
			return nil, fault.Wrap(fault.InvalidSetting, err, "cannot listen on "+l.addr)
		}
		*l.to = n.inbound.Listen(n.retryAccepts(l.part, ln), l.limits)
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

// retryAccepts returns a listener that outlives failed accepts, which it logs.
func (n *Node) retryAccepts(part string, ln net.Listener) net.Listener {
	return sock.NewRetryListener(ln,
		func(err error) { n.warn(part, "Cannot accept connections; retrying.", "err", err) },
		func() { n.info(part, "Accepts connections again.") })
}

// startTask runs a background task, for which Close and Stop wait. The task must end
// once n.stop is closed. The first parameter, the task's name, is not used.
func (n *Node) startTask(_ string, run func()) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		run()
	}()
}

// serveInBackground runs a server on its own goroutine and logs an unexpected end.
func (n *Node) serveInBackground(part string, run func() error) {
	go func() {
		err := run()
		if err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
			n.warn(part, "Stopped listening.", "err", err)
		}
	}()
}

// runEvery calls work at a fixed interval until the node stops.
func (n *Node) runEvery(d time.Duration, work func(now time.Time)) {
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

// maintenanceLoop expires leases, tracks overloads and the age of the settings, and prunes the
// quarantine.
func (n *Node) maintenanceLoop() {
	var inboundLog inboundLog
	n.runEvery(maintenanceInterval, func(now time.Time) {
		n.pauses.tick(n.clock(), now)
		n.trackSettingsDoubt(n.clock())
		n.trackConfirmation(n.clock())
		n.expireLease(now)
		n.serverReports.expire(n.clock())
		n.trackOverload(now)
		inboundLog.track(n, n.clock())
		n.quarantine.rebuildStaleView()
	})
}

// refreshPeersLoop checks that idle connections to peers are alive. It is a task
// of its own because an unresponsive connection blocks it for a while.
func (n *Node) refreshPeersLoop() {
	n.runEvery(maintenanceInterval, func(time.Time) { n.peers.refreshIdle() })
}

// lostPeerPingTimeout bounds one ping of an unreachable node.
const lostPeerPingTimeout = 300 * time.Millisecond

// probeLostPeersLoop pings unreachable nodes until they respond.
func (n *Node) probeLostPeersLoop() {
	n.runEvery(maintenanceInterval, func(time.Time) { n.peers.probeUnreachable(lostPeerPingTimeout) })
}

// overloadPeriod is the period of the backend server's latest overload.
type overloadPeriod struct {
	Began time.Time `json:"began"`
	// Ended is the zero time while the overload lasts.
	Ended time.Time `json:"ended"`
}

// trackOverload records and logs when the admission level rises above 0 and when
// it returns to 0.
func (n *Node) trackOverload(now time.Time) {
	l := n.gate.load().level
	last := n.lastOverload.Load()
	ongoing := last != nil && last.Ended.IsZero()
	switch {
	case l > 0 && !ongoing:
		n.lastOverload.Store(&overloadPeriod{Began: now})
		n.logEvent("admission", "The backend server is overloaded, level "+formatUint(uint64(l))+".")
	case l == 0 && ongoing:
		n.lastOverload.Store(&overloadPeriod{last.Began, now})
		n.logEvent("admission", "The overload is over after "+now.Sub(last.Began).Round(time.Millisecond).String()+".")
	}
}

// departureGrace is how long a stopping node goes on serving other nodes after
// it has announced its departure, while the announcement spreads.
const departureGrace = 500 * time.Millisecond

// Stop shuts the node down gracefully: it announces the departure, refuses new
// work and waits for requests in flight, for at most Options.StopTimeout. It
// reports whether all requests finished. Only the first call stops the node;
// later calls return true at once.
func (n *Node) Stop() bool {
	if !n.state.applyEvent(nodeChart, nodeEventStop) {
		return true
	}
	n.stopStarted.Store(int64(n.clock()))
	n.info("node", "Stopping.")
	deadline := time.Now().Add(n.opt.StopTimeout.Duration)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	maxWait := n.opt.StopTimeout.Duration / 2
	time.Sleep(min(max(0, n.opt.StopNotice.Duration-departureGrace), maxWait))
	n.awaitOtherInstance(deadline.Add(-n.opt.StopTimeout.Duration / drainTimeDivisor))
	n.departureAnnounced.Store(true)
	n.gossip.leave()
	time.Sleep(min(departureGrace, maxWait))
	done := n.awaitIdle(deadline)
	if done {
		n.state.applyEvent(nodeChart, nodeEventIdle)
	} else {
		n.state.applyEvent(nodeChart, nodeEventTimeout)
	}
	if err := n.httpSrv.Shutdown(ctx); err != nil {
		done = false
	}
	n.wireSrv.Close()
	n.closeComponents()
	if !n.awaitTasks(time.Until(deadline) + taskStopGrace) {
		n.info("node", "Background tasks did not end in time; exiting without them.")
	}
	n.info("node", "Stopped.", "finished", done)
	return done
}

// taskStopGrace is how long past the stop deadline the background tasks may take
// to end. A task that is dialling an unresponsive node is abandoned; nothing is
// lost, as durable state is synced before it is acknowledged.
const taskStopGrace = 150 * time.Millisecond

// awaitTasks waits until all background tasks have ended and reports whether
// they did within the given time.
func (n *Node) awaitTasks(timeout time.Duration) bool {
	ended := make(chan struct{})
	go func() {
		n.wg.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return true
	case <-time.After(timeout):
		return false
	}
}

const (
	// otherInstancePollInterval is how often a stopping node checks whether another
	// instance is reachable.
	otherInstancePollInterval = 20 * time.Millisecond
	// drainTimeDivisor reserves 1/drainTimeDivisor of the stop timeout for requests
	// in flight.
	drainTimeDivisor = 3
)

// awaitOtherInstance waits, at most until the given time, until another instance
// of the backend server's service is reachable. Without it, overlapping restarts
// or a restart during a partition could leave the service with no instance.
func (n *Node) awaitOtherInstance(until time.Time) {
	be := n.local.Load()
	if be == nil || be.memberState != member.Serving {
		return
	}
	for time.Now().Before(until) && !n.routes.Load().HasUsableInstance(be.service, n.id, n.clock()) {
		time.Sleep(otherInstancePollInterval)
	}
}

// awaitIdle waits until no request is in flight and reports whether that happened
// before the deadline. It polls, which spares each request a condition variable.
func (n *Node) awaitIdle(deadline time.Time) bool {
	const pollInterval = 5 * time.Millisecond
	for time.Now().Before(deadline) {
		l := n.gate.load()
		if l.inflight == 0 && l.queued == 0 && n.stats.inflight.Load() == 0 {
			return true
		}
		time.Sleep(pollInterval)
	}
	return false
}

// Close stops the node immediately, dropping requests in flight, and waits until
// its background tasks have ended.
func (n *Node) Close() {
	n.closeComponents()
	n.wg.Wait()
}

// closeComponents tells the background tasks to stop and closes all servers. Repeated
// calls have no effect.
func (n *Node) closeComponents() {
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

// info logs a message of a part of the node at level info.
func (n *Node) info(part, text string, kv ...any) {
	_ = level.Info(n.log).Log(append([]any{"part", part, "msg", text}, kv...)...)
}

// warn logs a message of a part of the node at level warn.
func (n *Node) warn(part, text string, kv ...any) {
	_ = level.Warn(n.log).Log(append([]any{"part", part, "msg", text}, kv...)...)
}

// logEvent logs an event and keeps it for umberctl events.
func (n *Node) logEvent(part, text string) {
	n.info(part, text)
	n.recordEvent(part, text)
}

// warnEvent logs an event at level warn and keeps it for umberctl events.
func (n *Node) warnEvent(part, text string, kv ...any) {
	n.warn(part, text, kv...)
	n.recordEvent(part, text)
}

// recordEvent keeps an event for umberctl events.
func (n *Node) recordEvent(part, text string) {
	n.events.add(Event{Time: time.Now(), Node: n.opt.Name, Domain: n.opt.Domain, Part: part, Text: text})
}

// servedTraceEvery is the sampling interval for traces of served requests: one in
// servedTraceEvery is traced.
const servedTraceEvery = 64

// recordOutcome records the latency, log line and trace of a completed request.
// Only a sample of the calls that succeed at the first attempt is traced.
// A request that callers sent to this node also counts towards the objective of
// its kind.
func (n *Node) recordOutcome(c *call, code fault.Code, run fault.Execution) {
	took := time.Since(c.started)
	n.latencies.Observe(c.rank.Class().String(), code.String(), took)
	if c.depth == 0 {
		n.burn.Record(c.rootTarget, time.Now(), code == fault.None && took <= c.policy.ObjectiveWithin, code)
	}
	sampled := code == fault.None && n.stats.servedRequests.Add(1)%servedTraceEvery == 0
	n.logRequest(c, code, run, took, sampled)
	if code == fault.None && c.attempts <= 1 && !sampled {
		return
	}
	n.traces.add(Trace{
		Time: time.Now(), RequestID: c.id, Target: c.target, Root: c.rootTarget, Rank: uint16(c.rank), Depth: c.depth,
		Attempts: c.attempts, RetriesSpent: c.retryBudget.Spent(), PathLevel: uint16(n.entryLevels.Level(c.rootTarget, n.clock())),
		Reason: code.String(), Execution: run.String(), TookUs: took.Microseconds(),
	})
}

// retryThrottle returns the limit on retries that all calls to a service share.
func (n *Node) retryThrottle(service string) *budget.Throttle {
	if v, ok := n.retryThrottles.Load(service); ok {
		return v.(*budget.Throttle)
	}
	v, _ := n.retryThrottles.LoadOrStore(service, &budget.Throttle{})
	return v.(*budget.Throttle)
}

// acquireBulkhead counts a nested call against the share of this node's slots that may
// wait on one called service, and reports whether the call may proceed. If so,
// the returned Bulkhead must be released afterwards.
func (n *Node) acquireBulkhead(c *call) (*admission.Bulkhead, bool) {
	v, ok := n.bulkheads.Load(c.service)
	if !ok {
		v, _ = n.bulkheads.LoadOrStore(c.service, &admission.Bulkhead{})
	}
	bulkhead := v.(*admission.Bulkhead)
	be := n.local.Load()
	if be == nil {
		bulkhead.ForceAcquire()
		return bulkhead, true
	}
	return bulkhead, bulkhead.TryAcquire(be.slots, c.policy.ShareMax, c.rank)
}

// reportEjection logs, once for each ejection, that an instance was ejected from routing
// after a failure.
func (n *Node) reportEjection(in *route.Instance, e *fault.Error) {
	if in.Observed.ConsumeEjection() {
		n.logEvent("route", "Ejected "+in.ID+" at "+in.Addr+" after "+e.Code.String()+".")
	}
}
