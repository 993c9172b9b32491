package logging

import (
	"bytes"
	"sync"
	"testing"

	"github.com/onsi/gomega"
)

// blockedWriter is a writer that blocks until it is released.
type blockedWriter struct {
	// entered is closed at the first call of Write.
	entered chan struct{}
	release chan struct{}
	once    sync.Once
	mu      sync.Mutex
	text    bytes.Buffer
}

func newBlockedWriter() *blockedWriter {
	return &blockedWriter{entered: make(chan struct{}), release: make(chan struct{})}
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	b.once.Do(func() { close(b.entered) })
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *blockedWriter) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// TestBlockedOutputDoesNotBlockWriters checks that a full queue drops and counts
// lines while the output blocks, and that the queued lines are written later.
func TestBlockedOutputDoesNotBlockWriters(t *testing.T) {
	g := gomega.NewWithT(t)
	out := newBlockedWriter()
	a := NewAsync(out)
	// The number of dropped lines is exact only once the writing goroutine
	// blocks and takes no more lines from the queue.
	_, err := a.Write([]byte("line\n"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	<-out.entered
	for range 3 * queueLines {
		_, err := a.Write([]byte("line\n"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Expect(a.Dropped()).To(gomega.BeEquivalentTo(2 * queueLines))
	close(out.release)
	g.Eventually(out.String, "5s", "5ms").Should(gomega.HaveLen(5 * (1 + queueLines)))
}
