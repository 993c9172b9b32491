package logging

import (
	"io"
	"time"

	"github.com/umberthread/umberthread/internal/ring"
)

// Async is a writer that never blocks: lines wait in a bounded queue for a
// goroutine that writes them. If the queue is full, the line is dropped and
// counted.
type Async struct {
	lines *ring.Queue[[]byte]
	out   io.Writer
}

const (
	// queueLines is the capacity of the queue, in lines.
	queueLines = 1024
	// batchBytes is the size at which a batch of lines is written.
	batchBytes = 32 << 10
)

// NewAsync returns a writer and starts the goroutine that writes to out. The
// goroutine runs until the process ends.
func NewAsync(out io.Writer) *Async {
	a := &Async{lines: ring.New[[]byte](queueLines), out: out}
	go a.run()
	return a
}

// Write implements io.Writer. It queues a copy of the line and never fails.
func (a *Async) Write(p []byte) (int, error) {
	a.lines.Offer(append([]byte(nil), p...))
	return len(p), nil
}

// Dropped returns the number of lines dropped because the queue was full.
func (a *Async) Dropped() int64 { return a.lines.Dropped() }

func (a *Async) run() {
	var batch []byte
	for line := range a.lines.C() {
		batch = append(batch[:0], line...)
		batch = a.appendQueued(batch)
		// There is nowhere to report a failure of the log output.
		_, _ = a.out.Write(batch)
	}
}

// appendQueued appends the queued lines until the batch has batchBytes.
func (a *Async) appendQueued(batch []byte) []byte {
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

// flushTimeout bounds how long Flush waits.
const flushTimeout = 200 * time.Millisecond

// Flush waits until the queue is empty, for at most flushTimeout. The last batch
// may not be written yet.
func (a *Async) Flush() {
	deadline := time.Now().Add(flushTimeout)
	for len(a.lines.C()) > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
}
