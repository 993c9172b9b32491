package soak

import (
	"math/rand/v2"
	"time"

	"github.com/umberthread/umberthread/internal/standin"
)

// ServerStray is a step in which a backend server rejects requests before it executes them, and
// sends responses that nobody asked for.
const ServerStray StepKind = "server-stray"

const (
	// meanStrayInterval is the mean time between two steps of a stray plan.
	meanStrayInterval          = 1500 * time.Millisecond
	minStrayTime, maxStrayTime = 2 * time.Second, 5 * time.Second
	// strayRate is the fraction of responses that a stray one follows, strayRejectionRate that of
	// requests that are rejected.
	strayRate, strayRejectionRate = 0.2, 0.3
)

// StrayPlan returns the steps in which backend servers send stray responses, independently of
// Plan. They overlap with other steps, but not with each other on the same server.
func StrayPlan(seed uint64, nodes int, span time.Duration) []Step {
	r := rand.New(rand.NewPCG(seed, uint64(meanStrayInterval)))
	return serverPlan(r, nodes, span, meanStrayInterval, 0, func() (StepKind, time.Duration) {
		return ServerStray, drawDuration(r, minStrayTime, maxStrayTime)
	})
}

// sendStrayResponses makes a backend server send stray responses during a step.
func (r *soakRun) sendStrayResponses(m *member, s Step) {
	server := m.lockedServer()
	server.UpdateFaults(func(f *standin.Faults) { f.StrayRate, f.RejectionRate = strayRate, strayRejectionRate })
	time.Sleep(s.For)
	server.UpdateFaults(func(f *standin.Faults) { f.StrayRate, f.RejectionRate = 0, 0 })
}
