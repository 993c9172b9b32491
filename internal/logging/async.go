package logging

import (
	"io"
	"time"

	"github.com/umberthread/umberthread/internal/ring"
)

// Async is a writer that never holds up who writes: lines wait in a bounded
// ring for the duty that writes them. A full ring drops the line and counts it.
type Async struct {
	lines *ring.Queue[[]byte]
	out   io.Writer
}

const (
	// ringLines is how many lines may wait: a few seconds' worth at the most
	// that the parts write.
	ringLines = 1024
	// batchBytes is how much is joined into one write.
	batchBytes = 32 << 10
)

// NewAsync returns a writer and starts the duty that writes to out.
func NewAsync(out io.Writer) *Async {
	a := &Async{lines: ring.New[[]byte](ringLines), out: out}
	go a.run()
	return a
}

// Write implements io.Writer. It keeps a copy of the line.
func (a *Async) Write(p []byte) (int, error) {
	a.lines.Offer(append([]byte(nil), p...))
	return len(p), nil
}

// Dropped returns how many lines the full ring has dropped.
func (a *Async) Dropped() int64 { return a.lines.Dropped() }

func (a *Async) run() {
	var batch []byte
	for line := range a.lines.C() {
		batch = append(batch[:0], line...)
		batch = a.more(batch)
		// A closed standard output leaves nobody to tell.
		_, _ = a.out.Write(batch)
	}
}

// more adds what waits, up to a bound.
func (a *Async) more(batch []byte) []byte {
	for len(batch) < batchBytes {
		select {
		case line := <-a.lines.C():
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

// flushTimeout bounds the wait for the last lines when a process ends.
const flushTimeout = 200 * time.Millisecond

// Flush waits until the lines so far are written, for a short while.
func (a *Async) Flush() {
	deadline := time.Now().Add(flushTimeout)
	for len(a.lines.C()) > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
}
