package node

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const slowAttemptSettings = "[fleet.f.service.s]\nretry_ratio = 1.0\nretry_burst = 100\n[fleet.f.service.s.kind.k]\nidempotent = true\ndeadline = \"8s\"\nretry_budget = 2"

const (
	// slowWork is the time that the slow request takes: far longer than the others of its kind.
	slowWork = 2500 * time.Millisecond
	// fastRequests is the number of fast requests before it, enough to know how long the kind takes.
	fastRequests = 60
)

// slowServer is a backend server that executes requests with the given prefix of the id slowly, or
// not to an end until the test ends, and others at once.
type slowServer struct {
	*httptest.Server
	started, canceled atomic.Int32
}

// startSlowServer starts a server and announces it to a node until the test ends. work is called
// for requests whose id begins with "slow".
func startSlowServer(t *testing.T, n *testNode, name string, work func(r *http.Request)) *slowServer {
	t.Helper()
	s := &slowServer{}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if strings.HasPrefix(r.Header.Get(HeaderRequestID), "slow") {
			s.started.Add(1)
			work(r)
			if r.Context().Err() != nil {
				s.canceled.Add(1)
				return
			}
		}
		_, _ = io.WriteString(w, name)
	}))
	stop := make(chan struct{})
	announce := func() {
		_ = n.Announce(&Announcement{Service: "f/s", Address: s.Listener.Addr().String(), Slots: 16, Connections: 64, State: "serving", Instance: name})
	}
	announce()
	go func() {
		tick := time.NewTicker(300 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-stop:
				return
			case <-tick.C:
				announce()
			}
		}
	}()
	t.Cleanup(func() {
		close(stop)
		s.CloseClientConnections()
		s.Close()
	})
	return s
}

// workFor is work that takes a time, unless the request is canceled.
func workFor(d time.Duration) func(*http.Request) {
	return func(r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-time.After(d):
		}
	}
}

// sendFastRequests sends enough fast requests to a node to know how long their kind takes.
func sendFastRequests(t *testing.T, n *testNode) {
	t.Helper()
	for i := range fastRequests {
		r := n.call("f/s/k", "fast-"+strconv.Itoa(i), nil, nil)
		gomega.NewWithT(t).Expect(r.status).To(gomega.Equal(http.StatusOK), r.body)
	}
}

// A request that takes far longer than the others of its kind must not be given up while its
// server executes it, if no other instance answers in its place.
func TestSlowRequestIsNotGivenUpWithoutABetterAnswer(t *testing.T) {
	t.Run("local server", func(t *testing.T) {
		g := gomega.NewWithT(t)
		n := startNode(t, "a", nil, nil)
		useSettings(t, slowAttemptSettings, n)
		startSlowServer(t, n, "one", workFor(slowWork))
		n.awaitInstances("f/s", 1)
		sendFastRequests(t, n)
		r := n.call("f/s/k", "slow", nil, nil)
		g.Expect(r.status).To(gomega.Equal(http.StatusOK), r.body)
		g.Expect(r.body).To(gomega.Equal("one"))
	})
	t.Run("server beside another node", func(t *testing.T) {
		g := gomega.NewWithT(t)
		beside := startNode(t, "a", nil, nil)
		entry := startNode(t, "a", []string{beside.opt.Control}, nil)
		useSettings(t, slowAttemptSettings, beside, entry)
		startSlowServer(t, beside, "one", workFor(slowWork))
		entry.awaitInstances("f/s", 1)
		sendFastRequests(t, entry)
		r := entry.call("f/s/k", "slow", nil, nil)
		g.Expect(r.status).To(gomega.Equal(http.StatusOK), r.body)
	})
	t.Run("node that is stopping", func(t *testing.T) {
		g := gomega.NewWithT(t)
		n := startNode(t, "a", nil, nil)
		useSettings(t, slowAttemptSettings, n)
		s := startSlowServer(t, n, "one", workFor(slowWork))
		n.awaitInstances("f/s", 1)
		sendFastRequests(t, n)
		answered := make(chan httpResult, 1)
		go func() { answered <- n.call("f/s/k", "slow", nil, nil) }()
		g.Eventually(s.started.Load).Should(gomega.BeEquivalentTo(1))
		go n.Stop()
		r := <-answered
		g.Expect(r.err).NotTo(gomega.HaveOccurred())
		g.Expect(r.status).To(gomega.Equal(http.StatusOK), r.body)
	})
	t.Run("other instance fails", func(t *testing.T) {
		g := gomega.NewWithT(t)
		one := startNode(t, "a", nil, nil)
		two := startNode(t, "a", []string{one.opt.Control}, nil)
		useSettings(t, slowAttemptSettings, one, two)
		s := startSlowServer(t, one, "one", workFor(slowWork))
		one.awaitInstances("f/s", 1)
		sendFastRequests(t, one)
		answered := make(chan httpResult, 1)
		go func() { answered <- one.call("f/s/k", "slow", nil, nil) }()
		g.Eventually(s.started.Load).Should(gomega.BeEquivalentTo(1))
		startSlowServer(t, two, "two", func(*http.Request) { panic(http.ErrAbortHandler) })
		one.awaitInstances("f/s", 2)
		r := <-answered
		g.Expect(r.status).To(gomega.Equal(http.StatusOK), r.body)
		g.Expect(r.body).To(gomega.Equal("one"))
		g.Expect(s.started.Load()).To(gomega.BeEquivalentTo(1), "it is not sent again to the server that executes it")
	})
}

// A request on which its server hangs must be answered by another instance long before its
// deadline, and the first attempt is then ended.
func TestHungRequestIsAnsweredByAnotherInstance(t *testing.T) {
	g := gomega.NewWithT(t)
	hang := func(r *http.Request) { <-r.Context().Done() }
	one := startNode(t, "a", nil, nil)
	two := startNode(t, "a", []string{one.opt.Control}, nil)
	useSettings(t, slowAttemptSettings, one, two)
	var first atomic.Bool
	onFirst := func(r *http.Request) {
		if first.CompareAndSwap(false, true) {
			hang(r)
		}
	}
	servers := []*slowServer{startSlowServer(t, one, "one", onFirst), startSlowServer(t, two, "two", onFirst)}
	one.awaitInstances("f/s", 2)
	sendFastRequests(t, one)
	sent := time.Now()
	r := one.call("f/s/k", "slow", nil, nil)
	g.Expect(r.status).To(gomega.Equal(http.StatusOK), r.body)
	g.Expect(time.Since(sent)).To(gomega.BeNumerically("<", 3*time.Second))
	g.Eventually(func() int32 { return servers[0].canceled.Load() + servers[1].canceled.Load() }, time.Second).Should(gomega.BeEquivalentTo(1))
	g.Eventually(func() int { return one.gate.load().inflight + two.gate.load().inflight }, time.Second).Should(gomega.BeZero())
}

// Of two attempts under way the one that answers first counts, also if it is the one that was
// taken for hung.
func TestSlowAttemptIsAnsweredWhileTheOtherHangs(t *testing.T) {
	g := gomega.NewWithT(t)
	one := startNode(t, "a", nil, nil)
	two := startNode(t, "a", []string{one.opt.Control}, nil)
	useSettings(t, slowAttemptSettings, one, two)
	var order atomic.Int32
	work := func(r *http.Request) {
		if order.Add(1) == 1 {
			workFor(slowWork)(r)
			return
		}
		<-r.Context().Done()
	}
	startSlowServer(t, one, "one", work)
	startSlowServer(t, two, "two", work)
	one.awaitInstances("f/s", 2)
	sendFastRequests(t, one)
	sent := time.Now()
	r := one.call("f/s/k", "slow", nil, nil)
	g.Expect(r.status).To(gomega.Equal(http.StatusOK), r.body)
	g.Expect(time.Since(sent)).To(gomega.BeNumerically("<", slowWork+time.Second))
}

// A node that is too busy to send heartbeats must not lose the requests that its server executes,
// whether they may be sent again or not.
func TestRequestAtANodeWithoutHeartbeatsIsAnswered(t *testing.T) {
	for name, idempotent := range map[string]bool{"idempotent": true, "not idempotent": false} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			beside := startNode(t, "a", nil, func(o *Options) { o.Heartbeat = Duration{time.Hour} })
			entry := startNode(t, "a", []string{beside.opt.Control}, nil)
			useSettings(t, strings.Replace(slowAttemptSettings, "idempotent = true", "idempotent = "+strconv.FormatBool(idempotent), 1), beside, entry)
			s := startSlowServer(t, beside, "one", workFor(slowWork))
			entry.awaitInstances("f/s", 1)
			r := entry.call("f/s/k", "slow", nil, nil)
			g.Expect(r.status).To(gomega.Equal(http.StatusOK), r.body)
			g.Expect(r.body).To(gomega.Equal("one"))
			g.Expect(s.started.Load()).To(gomega.BeEquivalentTo(1))
		})
	}
}

// A request may not be sent to more servers than its kind allows while one that is in doubt, and the
// one that was asked in its place, are both under way: as the first fails, no third is asked.
func TestAttemptsUnderWayCountTowardsTheMaximum(t *testing.T) {
	g := gomega.NewWithT(t)
	one := startNode(t, "a", nil, nil)
	two := startNode(t, "a", []string{one.opt.Control}, nil)
	three := startNode(t, "a", []string{one.opt.Control}, nil)
	useSettings(t, slowAttemptSettings+"\nattempts_max = 2", one, two, three)
	twoBegan := make(chan struct{})
	s := startSlowServer(t, one, "one", func(*http.Request) {
		<-twoBegan
		time.Sleep(100 * time.Millisecond)
		panic(http.ErrAbortHandler)
	})
	one.awaitInstances("f/s", 1)
	sendFastRequests(t, one)
	answered := make(chan httpResult, 1)
	go func() { answered <- one.call("f/s/k", "slow", nil, nil) }()
	g.Eventually(s.started.Load).Should(gomega.BeEquivalentTo(1))
	var began atomic.Int32
	work := func(r *http.Request) {
		if began.Add(1) == 1 {
			close(twoBegan)
		}
		workFor(slowWork / 2)(r)
	}
	startSlowServer(t, two, "two", work)
	startSlowServer(t, three, "three", work)
	one.awaitInstances("f/s", 3)
	r := <-answered
	g.Expect(r.status).To(gomega.Equal(http.StatusOK), r.body)
	g.Expect(began.Load()).To(gomega.BeEquivalentTo(1), "a third server was asked")
}
