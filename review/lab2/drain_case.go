package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Addresses of the case.
const (
	drainReplica = "127.41.21.9"
	drainEast1   = "127.41.21.1"
	drainEast2   = "127.41.21.2"
	drainWest    = "127.41.21.3"
)

const (
	// clockStep is by how much the time of day of the server's instance jumps back, and
	// clockStepTime is how long until it jumps to the true time again.
	clockStep     = 2 * time.Second
	clockStepTime = time.Second
	// drainTime is the operators' drainMs, and drainMore how much longer the server serves.
	drainTime = 2 * time.Second
	drainMore = 1500 * time.Millisecond
	// settleTime is the operators' settleWindowMs.
	settleTime = 3 * time.Second
	// workTime is how long a server works on a request.
	workTime = 120 * time.Millisecond
	// sendInterval is the time between two requests of a client.
	sendInterval = 100 * time.Millisecond
)

// drainAfterClockStep lets a server crash and start again under its identity, after the time of
// day of its instance has stepped back, and then drain as planned. No request may reach it
// later than drainTime after its node has acknowledged that.
func drainAfterClockStep(r *record, trouble bool) (breaks []string, err error) {
	f, err := newFleet(r, drainReplica, drainEast1, drainEast2, drainWest)
	if err != nil {
		return nil, err
	}
	defer f.end()
	for _, in := range []instance{
		{Name: "core-1", IP: drainReplica, Zone: "a"},
		{Name: "east-1", IP: drainEast1, Zone: "a", Service: "east"},
		{Name: "east-2", IP: drainEast2, Zone: "a", Service: "east"},
		{Name: "west-1", IP: drainWest, Zone: "a", Service: "west"},
	} {
		in.Seeds, in.FirstStart = address(drainReplica, controlPort), true
		if err := f.start(in); err != nil {
			return nil, err
		}
	}
	if err := f.putDocument(drainReplica, "00000000", firstDocument, 20*time.Second); err != nil {
		return nil, err
	}
	other := &server{record: r, ip: drainEast2, service: "east", id: "i-east-2", work: workTime}
	if err := other.startIncarnation(); err != nil {
		return nil, err
	}
	if err := f.awaitService("/read/first", 20*time.Second, drainEast1, drainEast2, drainWest); err != nil {
		return nil, err
	}

	s := &server{record: r, ip: drainEast1, service: "east", id: "i-east-1", work: workTime}
	if err := s.startIncarnation(); err != nil {
		return nil, err
	}
	time.Sleep(600 * time.Millisecond)
	if trouble {
		s.clockOffset = -clockStep
		r.add("the time of day at %s jumps back by %v", drainEast1, clockStep)
	}
	time.Sleep(200 * time.Millisecond)
	s.crash()
	time.Sleep(300 * time.Millisecond)
	if err := s.startIncarnation(); err != nil {
		return nil, err
	}
	time.Sleep(clockStepTime - 500*time.Millisecond)
	if trouble {
		s.clockOffset = 0
		r.add("the time of day at %s is right again", drainEast1)
	}
	time.Sleep(settleTime + 100*time.Millisecond)

	stop := make(chan struct{})
	var clients sync.WaitGroup
	sent := newSentTimes()
	for i, ip := range []string{drainEast1, drainEast2, drainWest} {
		clients.Add(1)
		go func() {
			defer clients.Done()
			sendUntil(stop, r, sent, ip, fmt.Sprintf("c%d", i))
		}()
	}
	time.Sleep(500 * time.Millisecond)
	acknowledged := s.drain()
	r.add("the drain of %s is acknowledged", s.id)
	time.Sleep(drainTime + drainMore)
	s.leave()
	time.Sleep(500 * time.Millisecond)
	close(stop)
	clients.Wait()
	for _, run := range s.requests() {
		late := run.at.Sub(acknowledged)
		r.add("server %s ran %s %.3f s after the acknowledgement", s.id, run.id, late.Seconds())
		if late > drainTime && sent.at(run.id).Sub(acknowledged) > drainTime {
			breaks = append(breaks, fmt.Sprintf("DRAIN: request %s reached %s %.3f s after the acknowledged drain", run.id, s.id, late.Seconds()))
		}
	}
	return breaks, nil
}

// sentTimes holds when requests were sent. It is safe for concurrent use.
type sentTimes struct {
	mu    sync.Mutex
	times map[string]time.Time
}

// newSentTimes returns an empty table.
func newSentTimes() *sentTimes { return &sentTimes{times: map[string]time.Time{}} }

// add records that a request is sent now.
func (s *sentTimes) add(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.times[id] = time.Now()
}

// at returns when a request was sent.
func (s *sentTimes) at(id string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.times[id]
}

// sendUntil sends requests that must run once at most, one after the other.
func sendUntil(stop <-chan struct{}, r *record, sent *sentTimes, ip, client string) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(sendInterval):
		}
		id := fmt.Sprintf("%s-%d", client, n)
		sent.add(id)
		status, body := request{ip: ip, method: http.MethodPost, path: "/book/x", id: id, wait: 6 * time.Second}.send()
		if status != http.StatusOK {
			r.add("request %s at %s is answered %d %s", id, ip, status, body)
		}
	}
}
