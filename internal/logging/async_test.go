package logging

import (
	"bytes"
	"sync"
	"testing"

	"github.com/onsi/gomega"
)

// blocked is an output that nobody reads until it is released.
type blocked struct {
	// entered is closed once the duty that writes is stuck in Write.
	entered chan struct{}
	release chan struct{}
	once    sync.Once
	mu      sync.Mutex
	text    bytes.Buffer
}

func newBlocked() *blocked {
	return &blocked{entered: make(chan struct{}), release: make(chan struct{})}
}

func (b *blocked) Write(p []byte) (int, error) {
	b.once.Do(func() { close(b.entered) })
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *blocked) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// TestLoggingNeverWaitsForItsReader: the output is stuck, writers go on, the
// ring keeps as many lines as it holds, and each further one is counted.
func TestLoggingNeverWaitsForItsReader(t *testing.T) {
	g := gomega.NewWithT(t)
	out := newBlocked()
	a := NewAsync(out)
	// Until the duty is stuck it takes lines out of the ring, so what the ring
	// drops is exact only after that.
	_, err := a.Write([]byte("line\n"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	<-out.entered
	for range 3 * ringLines {
		_, err := a.Write([]byte("line\n"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Expect(a.Dropped()).To(gomega.BeEquivalentTo(2 * ringLines))
	close(out.release)
	g.Eventually(out.String, "5s", "5ms").Should(gomega.HaveLen(5 * (1 + ringLines)))
}
