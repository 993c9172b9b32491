package logging

import (
	"bytes"
	"sync"
	"testing"

	"github.com/onsi/gomega"
)

// blocked is an output that nobody reads until it is released.
type blocked struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
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

// TestLoggingNeverWaitsForItsReader: the output is stuck, writers go on, and
// what found no room is counted.
func TestLoggingNeverWaitsForItsReader(t *testing.T) {
	g := gomega.NewWithT(t)
	out := &blocked{release: make(chan struct{})}
	a := NewAsync(out)
	for range 3 * ringLines {
		_, err := a.Write([]byte("line\n"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Expect(a.Dropped()).To(gomega.BeNumerically(">=", ringLines))
	close(out.release)
	g.Eventually(out.String, "5s", "5ms").Should(gomega.HaveLen(5 * (3*ringLines - int(a.Dropped()))))
}
