package lab

import (
	"fmt"
	"sync"
	"time"
)

const (
	memoryCheckInterval = 100 * time.Millisecond
	// restartDelay is how long after its end a process is started again.
	restartDelay = 500 * time.Millisecond
)

// MemoryGuard does what the platform does with a process that uses more memory than its machine's
// limit: it kills the process, and starts it again after a short delay.
type MemoryGuard struct {
	d *Deployment

	mu    sync.Mutex
	kills map[string]int
	peak  map[string]int
}

// GuardMemory starts the guard.
func (d *Deployment) GuardMemory() *MemoryGuard {
	g := &MemoryGuard{d: d, kills: map[string]int{}, peak: map[string]int{}}
	for _, m := range append(append([]*Machine{}, d.Replicas...), d.Nodes...) {
		go g.watch(m)
	}
	return g
}

func (g *MemoryGuard) watch(m *Machine) {
	for range time.Tick(memoryCheckInterval) {
		used := m.ResidentMB()
		g.mu.Lock()
		g.peak[m.Name] = max(g.peak[m.Name], int(used))
		g.mu.Unlock()
		if used <= float64(m.MemoryMB()) {
			continue
		}
		m.Kill()
		g.mu.Lock()
		g.kills[m.Name]++
		g.mu.Unlock()
		m.lab.Note("platform: %s uses %.0f MB of %d and is killed", m.Name, used, m.MemoryMB())
		time.Sleep(restartDelay)
		if err := g.d.Restart(m); err != nil {
			m.lab.Note("platform: %s does not start: %v", m.Name, err)
			return
		}
	}
}

// Kills returns how often the process of a machine was killed.
func (g *MemoryGuard) Kills(m *Machine) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.kills[m.Name]
}

// String lists the kills and the peaks of the memory in use.
func (g *MemoryGuard) String() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return fmt.Sprintf("kills %v, peaks in MB %v", g.kills, g.peak)
}
