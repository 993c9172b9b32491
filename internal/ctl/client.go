// Package ctl is the body of the command-line tool: it asks nodes over their
// admin addresses and prints what they say.
package ctl

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/node"
)

const askTimeout = 10 * time.Second

// Client asks one node.
type Client struct {
	// Admin is the node's admin address.
	Admin string
	http  http.Client
}

// NewClient returns a client of the node with the given admin address.
func NewClient(admin string) *Client {
	return &Client{Admin: admin, http: http.Client{Timeout: askTimeout}}
}

// Get reads the answer to a query into v.
func (c *Client) Get(path string, query url.Values, v any) error {
	u := "http://" + c.Admin + path
	if len(query) > 0 {
		u += "?" + query.Encode()
	}
	resp, err := c.http.Get(u)
	if err != nil {
		return fault.Wrap(fault.PeerLost, err, "the node at "+c.Admin+" does not answer")
	}
	return read(resp, v)
}

// Post sends body and reads the answer into v.
func (c *Client) Post(path string, body, v any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "cannot encode the request")
	}
	resp, err := c.http.Post("http://"+c.Admin+path, "application/json", bytes.NewReader(b))
	if err != nil {
		return fault.Wrap(fault.PeerLost, err, "the node at "+c.Admin+" does not answer").WithUnknownExecution()
	}
	return read(resp, v)
}

// read decodes an answer, or the typed failure in it.
func read(resp *http.Response, v any) error {
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return fault.Wrap(fault.PeerLost, err, "the answer broke off").WithUnknownExecution()
	}
	if resp.Header.Get("Content-Type") == "application/problem+json" {
		var p node.Problem
		if err := json.Unmarshal(b, &p); err != nil {
			return fault.Wrap(fault.Protocol, err, "malformed refusal")
		}
		code, _ := fault.ParseCode(p.Reason)
		e := fault.New(code, p.Detail)
		if p.Execution != fault.NotExecuted.String() {
			e.Execution = fault.ExecutionUnknown
		}
		return e
	}
	if err := json.Unmarshal(b, v); err != nil {
		return fault.Wrap(fault.Protocol, err, "malformed answer")
	}
	return nil
}

// Answered is what one node of many said.
type Answered[T any] struct {
	Node  string
	Value T
	Err   error
}

// askAtOnce bounds the nodes asked at the same time.
const askAtOnce = 32

// AskAll asks the nodes at the given admin addresses, several at a time.
func AskAll[T any](admins []string, path string, query url.Values) []Answered[T] {
	out := make([]Answered[T], len(admins))
	var wg sync.WaitGroup
	room := make(chan struct{}, askAtOnce)
	for i, a := range admins {
		wg.Add(1)
		room <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-room }()
			out[i].Node = a
			out[i].Err = NewClient(a).Get(path, query, &out[i].Value)
		}()
	}
	wg.Wait()
	return out
}
