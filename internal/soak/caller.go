package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/umberthread/umberthread/internal/node"
)

// sort is one sort of request that callers send.
type sort struct {
	target string
	body   int
	// keyed requests carry an idempotency key and are sent again with it until
	// they have an answer; others are sent once.
	keyed bool
	// repeatable requests may be executed more than once.
	repeatable bool
}

// The sorts. A read makes two calls to a second service; a note may not be
// executed twice.
var sorts = []sort{
	{target: "soak/front/read", repeatable: true},
	{target: "soak/front/note", body: 300},
	{target: "soak/front/book", body: 80, keyed: true},
}

const (
	// callerDeadline is how long a caller waits for an answer.
	callerDeadline = 3 * time.Second
	// keyedTries bounds the resends of a request with a key.
	keyedTries  = 8
	resendPause = 150 * time.Millisecond
)

// attempt is one request that a caller sent, and what it saw of it.
type attempt struct {
	id    string
	sort  int
	entry int
	sent  time.Time
	ended time.Time
	// status is 0 if there was no whole answer.
	status int
	// unsent is set if no connection could be made.
	unsent bool
	// notRun is set if the answer says that the request was not executed.
	notRun bool
	// reason is why a request was refused, as the refusal names it.
	reason string
	// wrong says what is wrong with a success.
	wrong string
}

// callers send requests to all nodes on connections that they keep.
type callers struct {
	entries []string
	client  *http.Client
	wg      sync.WaitGroup

	mu       sync.Mutex
	attempts []attempt
}

func newCallers(entries []string) *callers {
	return &callers{entries: entries, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// run sends requests at a rate until the context ends, and waits for all.
func (c *callers) run(ctx context.Context, perSecond int) {
	t := time.NewTicker(time.Second / time.Duration(perSecond))
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			c.wg.Wait()
			return
		case <-t.C:
			c.wg.Add(1)
			go func() {
				defer c.wg.Done()
				c.request(rand.IntN(len(sorts)), rand.IntN(len(c.entries)))
			}()
		}
	}
}

// request sends one request, and one with a key again until it is answered.
func (c *callers) request(kind, entry int) {
	s := sorts[kind]
	key := ""
	tries := 1
	if s.keyed {
		key = uuid.Must(uuid.NewV7()).String()
		tries = keyedTries
	}
	for range tries {
		a := c.send(kind, entry, key)
		c.mu.Lock()
		c.attempts = append(c.attempts, a)
		c.mu.Unlock()
		if a.status == http.StatusOK {
			return
		}
		time.Sleep(resendPause)
		entry = rand.IntN(len(c.entries))
	}
}

// send sends one attempt. With a key, the id is that of the key, so that the
// backend servers count the executions of all its attempts together.
func (c *callers) send(kind, entry int, key string) attempt {
	a := c.sendSort(sorts[kind], entry, key)
	a.sort = kind
	return a
}

func (c *callers) sendSort(s sort, entry int, key string) (a attempt) {
	a = attempt{id: key, entry: entry, sent: time.Now()}
	if a.id == "" {
		a.id = uuid.NewString()
	}
	defer func() { a.ended = time.Now() }()
	ctx, cancel := context.WithTimeout(context.Background(), callerDeadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.entries[entry]+"/call/"+s.target, bytes.NewReader(make([]byte, s.body)))
	if err != nil {
		a.wrong = err.Error()
		return a
	}
	// Without this, a body that can be read again lets the client resend by
	// itself on a connection that was closed.
	req.GetBody = nil
	req.Header.Set(node.HeaderRequestID, a.id)
	req.Header.Set(node.HeaderRemaining, strconv.FormatInt(callerDeadline.Milliseconds(), 10))
	if key != "" {
		req.Header.Set(node.HeaderIdempotencyKey, key)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		var op *net.OpError
		a.unsent = errors.As(err, &op) && op.Op == "dial"
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return a
	}
	a.status = resp.StatusCode
	a.notRun = resp.Header.Get(node.HeaderExecution) == "no"
	if a.status == http.StatusOK {
		a.wrong = wrongAnswer(string(body), a.id, s.body)
		return a
	}
	var p node.Problem
	if json.Unmarshal(body, &p) == nil {
		a.reason = p.Reason
	}
	return a
}

// wrongAnswer compares a success with what the stand-in answers: the id, the
// size of the body that it received, and filling.
func wrongAnswer(body, id string, size int) string {
	want := fmt.Sprintf("%s %d\n", id, size)
	if !strings.HasPrefix(body, want) || len(body) != answerBytes {
		return fmt.Sprintf("answer of %d bytes begins %.60q, expected %q and %d bytes", len(body), body, want, answerBytes)
	}
	return ""
}

// taken returns the attempts until now.
func (c *callers) taken() []attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]attempt(nil), c.attempts...)
}
