// Package ctl implements the operators' command-line tool: it queries nodes over
// their admin addresses and prints the results.
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

// requestTimeout bounds one request to a node.
const requestTimeout = 10 * time.Second

// Client sends requests to one node's admin address.
type Client struct {
	// Admin is the node's admin address.
	Admin string
	http  http.Client
}

// NewClient returns a client of the node with the given admin address.
func NewClient(admin string) *Client {
	return &Client{Admin: admin, http: http.Client{Timeout: requestTimeout}}
}

// Get sends a GET request and decodes the response into v. The error is a
// *fault.Error.
func (c *Client) Get(path string, query url.Values, v any) error {
	u := "http://" + c.Admin + path
	if len(query) > 0 {
		u += "?" + query.Encode()
	}
	resp, err := c.http.Get(u)
	if err != nil {
		return fault.Wrap(fault.PeerLost, err, "the node at "+c.Admin+" does not answer")
	}
	return decodeResponse(resp, v)
}

// Post sends body as JSON and decodes the response into v. The error is a
// *fault.Error.
func (c *Client) Post(path string, body, v any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "cannot encode the request")
	}
	resp, err := c.http.Post("http://"+c.Admin+path, "application/json", bytes.NewReader(b))
	if err != nil {
		return fault.Wrap(fault.PeerLost, err, "the node at "+c.Admin+" does not answer").WithUnknownExecution()
	}
	return decodeResponse(resp, v)
}

// decodeResponse decodes the response into v, or returns the error that it
// describes.
func decodeResponse(resp *http.Response, v any) error {
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return fault.Wrap(fault.PeerLost, err, "incomplete response").WithUnknownExecution()
	}
	if resp.Header.Get("Content-Type") == "application/problem+json" {
		var p node.Problem
		if err := json.Unmarshal(b, &p); err != nil {
			return fault.Wrap(fault.Protocol, err, "malformed error response")
		}
		code, _ := fault.ParseCode(p.Reason)
		e := fault.New(code, p.Detail)
		if p.Execution != fault.NotExecuted.String() {
			e.Execution = fault.ExecutionUnknown
		}
		return e
	}
	if err := json.Unmarshal(b, v); err != nil {
		return fault.Wrap(fault.Protocol, err, "malformed response")
	}
	return nil
}

// NodeResult is the result of a query to one node. Node is its admin address.
type NodeResult[T any] struct {
	Node  string
	Value T
	Err   error
}

// maxConcurrentQueries is the largest number of nodes queried at the same time.
const maxConcurrentQueries = 32

// QueryAll sends a GET request to each admin address, several at a time, and
// returns the results in the order of the addresses.
func QueryAll[T any](admins []string, path string, query url.Values) []NodeResult[T] {
	out := make([]NodeResult[T], len(admins))
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentQueries)
	for i, a := range admins {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			out[i].Node = a
			out[i].Err = NewClient(a).Get(path, query, &out[i].Value)
		}()
	}
	wg.Wait()
	return out
}
