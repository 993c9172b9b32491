// Command 2 is a case of the review: the operator lowers the limit of a body while callers are sending
// bodies in chunks that were within it.
package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/umberthread/umberthread/review/lab"
)

const (
	// wideLimit and narrowLimit are the limits of a body before and after the change.
	wideLimit   = 8 << 20
	narrowLimit = 1536 << 10
	// firstPart is what a caller sends before the change, and bodySize the size of the whole body.
	firstPart = 512 << 10
	bodySize  = 3 << 20
	// pause is the time from the acknowledgement of the change to the rest of the bodies.
	pause   = 500 * time.Millisecond
	uploads = 4
	// uploadBudget is the time budget of an upload.
	uploadBudget = 1200 * time.Millisecond
)

func main() { lab.Main(run) }

// upload is one upload and its body.
type upload struct {
	digest string
	answer lab.Answer
}

func run(l *lab.Lab) (lab.Verdict, error) {
	d, err := l.Deploy(map[string]int{"sheets": 4, "bookings": 4})
	if err != nil {
		return lab.Verdict{}, err
	}
	if err := d.Put(lab.Document{Version: 1, MaxBody: wideLimit}); err != nil {
		return lab.Verdict{}, err
	}
	ledger := lab.NewLedger()
	for _, m := range d.Nodes {
		w := &lab.Worker{ID: "i-" + m.Name, Slots: 293, Work: 70 * time.Millisecond, Ledger: ledger}
		if err := m.StartWorker(w); err != nil {
			return lab.Verdict{}, err
		}
	}
	if err := d.AwaitReady(20 * time.Second); err != nil {
		return lab.Verdict{}, err
	}
	time.Sleep(3 * time.Second)

	changed := make(chan struct{})
	results := make([]upload, uploads)
	var wg, begun sync.WaitGroup
	for i := range results {
		wg.Add(1)
		begun.Add(1)
		go func() {
			defer wg.Done()
			results[i] = send(l, d.Nodes[i], changed, begun.Done)
		}()
	}
	begun.Wait()
	time.Sleep(100 * time.Millisecond)
	if l.Trouble {
		if err := d.Put(lab.Document{Version: 2, Base: 1, MaxBody: narrowLimit}); err != nil {
			return lab.Verdict{}, err
		}
	}
	time.Sleep(pause)
	close(changed)
	wg.Wait()
	return judge(l, results, ledger), nil
}

// send sends one upload in chunks: the first part at once, the rest after the change.
func send(l *lab.Lab, m *lab.Machine, changed <-chan struct{}, firstPartSent func()) upload {
	body := make([]byte, bodySize)
	var seed [32]byte
	seed[0] = m.Name[len(m.Name)-1]
	_, _ = rand.NewChaCha8(seed).Read(body)
	sum := sha256.Sum256(body)
	u := upload{digest: hex.EncodeToString(sum[:8])}
	r, w := io.Pipe()
	go func() {
		_, _ = w.Write(body[:firstPart])
		l.Note("caller at %s: sent %d of %d bytes in chunks", m.Name, firstPart, bodySize)
		firstPartSent()
		<-changed
		_, err := io.Copy(w, bytes.NewReader(body[firstPart:]))
		l.Note("caller at %s: sent the rest, err=%v", m.Name, err)
		_ = w.CloseWithError(err)
	}()
	u.answer = m.CallWithin(uploadBudget, "POST", "/upload/"+m.Name, r, -1)
	_ = r.Close()
	l.Note("caller at %s: sent digest=%s, got %s %s", m.Name, u.digest, u.answer, u.answer.Body)
	return u
}

// judge checks that no upload ran with another body than was sent.
func judge(l *lab.Lab, results []upload, ledger *lab.Ledger) lab.Verdict {
	ran, altered, served := 0, 0, 0
	for _, u := range results {
		if u.answer.Status == 200 {
			served++
		}
		for _, r := range ledger.Of(u.answer.ID) {
			ran++
			if r.Digest != u.digest || r.Bytes != bodySize {
				altered++
				l.Note("UNASKED: id=%s was sent with %d bytes, digest %s; %s ran it with %d bytes, digest %s; the caller got status %d",
					r.ID, bodySize, u.digest, r.Worker, r.Bytes, r.Digest, u.answer.Status)
			}
		}
	}
	return lab.Verdict{
		Broken: altered > 0,
		Text:   fmt.Sprintf("%d uploads: %d ran, %d of them with another body than was sent; %d were answered 200", len(results), ran, altered, served),
	}
}
