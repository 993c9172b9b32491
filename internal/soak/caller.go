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

// requestType is a type of request that callers send.
type requestType struct {
	target    string
	bodyBytes int
	// keyed requests carry an idempotency key and are resent until they succeed, at
	// most maxKeyedAttempts times; others are sent once.
	keyed bool
	// idempotent requests may be executed more than once.
	idempotent bool
}

// requestTypes are the types that callers choose from. A read makes two nested calls;
// a note or a booking must not be executed twice.
var requestTypes = []requestType{
	{target: "soak/front/read", idempotent: true},
	{target: "soak/front/note", bodyBytes: 300},
	{target: "soak/front/book", bodyBytes: 80, keyed: true},
}

const (
	// callerDeadline is how long a caller waits for a response.
	callerDeadline = 3 * time.Second
	// maxKeyedAttempts bounds the attempts of a request with a key.
	maxKeyedAttempts = 8
	resendDelay      = 150 * time.Millisecond
)

// attempt is one attempt of a caller with its outcome.
type attempt struct {
	id          string
	requestType int
	entryNode   int
	sentAt      time.Time
	endedAt     time.Time
	// status is the HTTP status, 0 without a complete response.
	status int
	// notConnected is set if the connection could not be established.
	notConnected bool
	// notExecuted is set if the response says that the request was not executed.
	notExecuted bool
	// refusalReason is the reason in the problem document of an error response.
	refusalReason string
	// responseError describes what is wrong with a successful response.
	responseError string
}

// outcome names the outcome of the attempt: "not connected", "no response", or the status
// with the reason of a refusal.
func (a attempt) outcome() string {
	switch {
	case a.notConnected:
		return "not connected"
	case a.status == 0:
		return "no response"
	case a.refusalReason != "":
		return fmt.Sprintf("%d %s", a.status, a.refusalReason)
	default:
		return strconv.Itoa(a.status)
	}
}

// callers sends requests to all nodes over persistent connections and records the
// attempts.
type callers struct {
	addresses []string
	client    *http.Client
	wg        sync.WaitGroup

	mu       sync.Mutex
	attempts []attempt
}

func newCallers(entries []string) *callers {
	return &callers{addresses: entries, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// sendAtRate sends requests at a constant rate until the context ends and waits for
// all of them.
func (c *callers) sendAtRate(ctx context.Context, perSecond int) {
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
				c.sendRequest(rand.IntN(len(requestTypes)), rand.IntN(len(c.addresses)))
			}()
		}
	}
}

// sendRequest sends a request; one with a key is resent to random nodes until it
// succeeds or has used its attempts.
func (c *callers) sendRequest(typeIndex, nodeIndex int) {
	s := requestTypes[typeIndex]
	key := ""
	tries := 1
	if s.keyed {
		key = uuid.Must(uuid.NewV7()).String()
		tries = maxKeyedAttempts
	}
	for range tries {
		a := c.sendAttempt(typeIndex, nodeIndex, key)
		c.mu.Lock()
		c.attempts = append(c.attempts, a)
		c.mu.Unlock()
		if a.status == http.StatusOK {
			return
		}
		time.Sleep(resendDelay)
		nodeIndex = rand.IntN(len(c.addresses))
	}
}

// sendAttempt sends one attempt. The key, if any, is also the request id, so that the
// backend servers count the executions of all attempts together.
func (c *callers) sendAttempt(typeIndex, nodeIndex int, key string) attempt {
	a := c.sendOnce(requestTypes[typeIndex], nodeIndex, key)
	a.requestType = typeIndex
	return a
}

func (c *callers) sendOnce(s requestType, nodeIndex int, key string) (a attempt) {
	a = attempt{id: key, entryNode: nodeIndex, sentAt: time.Now()}
	if a.id == "" {
		a.id = uuid.NewString()
	}
	defer func() { a.endedAt = time.Now() }()
	ctx, cancel := context.WithTimeout(context.Background(), callerDeadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.addresses[nodeIndex]+"/call/"+s.target, bytes.NewReader(make([]byte, s.bodyBytes)))
	if err != nil {
		a.responseError = err.Error()
		return a
	}
	// Prevents the HTTP client from resending the request on a closed connection.
	req.GetBody = nil
	req.Header.Set(node.HeaderRequestID, a.id)
	req.Header.Set(node.HeaderRemaining, strconv.FormatInt(callerDeadline.Milliseconds(), 10))
	if key != "" {
		req.Header.Set(node.HeaderIdempotencyKey, key)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		var op *net.OpError
		a.notConnected = errors.As(err, &op) && op.Op == "dial"
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return a
	}
	a.status = resp.StatusCode
	a.notExecuted = resp.Header.Get(node.HeaderExecution) == "no"
	if a.status == http.StatusOK {
		a.responseError = validateResponse(string(body), a.id, s.bodyBytes)
		return a
	}
	var p node.Problem
	if json.Unmarshal(body, &p) == nil {
		a.refusalReason = p.Reason
	}
	return a
}

// validateResponse compares a successful response with that of a stand-in: the request
// id, the size of the request body, and padding. It returns "" or the difference.
func validateResponse(body, id string, size int) string {
	want := fmt.Sprintf("%s %d\n", id, size)
	if !strings.HasPrefix(body, want) || len(body) != responseBytes {
		return fmt.Sprintf("response of %d bytes begins with %.60q, expected %q and %d bytes", len(body), body, want, responseBytes)
	}
	return ""
}

// recordedAttempts returns a copy of the attempts so far.
func (c *callers) recordedAttempts() []attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]attempt(nil), c.attempts...)
}
