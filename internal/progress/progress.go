// Package progress names how far a request that was sent has got.
package progress

// State is the state of a sent request after a wait for its response.
type State uint8

const (
	// Ended means that there is a response or an error.
	Ended State = iota
	// Waiting means that the wait was over before the response began.
	Waiting
	// Doubted means that the response may never come. The request goes on: only an answer to another
	// attempt is a reason to end it. It is told once for each request.
	Doubted
)
