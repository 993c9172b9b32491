package soak

import (
	"fmt"
	"net/url"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/ctl"
	"github.com/umberthread/umberthread/internal/node"
	"github.com/umberthread/umberthread/settings"
)

const (
	// orderWait bounds how long an operator sends an order again.
	orderWait  = 12 * time.Second
	orderPause = 100 * time.Millisecond
)

// order is a change of the settings that an operator has sent.
type order struct {
	id   string
	base uint64
	// entry is the entry of the tree that it sets, and value its value.
	entry, value string
	// version is the one that it was accepted as, 0 if it was not, or if no
	// clear answer came.
	version uint64
	at      time.Time
}

// operators send orders to any node and remember what became of them.
type operators struct {
	admins []string

	mu     sync.Mutex
	orders []order
	next   int
}

// change makes one change on the newest version.
func (o *operators) change(entry int) { o.send(o.base(entry), entry) }

// race makes two changes on the same version, through two nodes.
func (o *operators) race(entry int) {
	base := o.base(entry)
	var wg sync.WaitGroup
	for i := range 2 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			o.send(base, (entry+i)%len(o.admins))
		}()
	}
	wg.Wait()
}

// base returns the newest version that a node knows; 0 if none answers.
func (o *operators) base(entry int) uint64 {
	for i := range o.admins {
		var d node.ConfigDocument
		c := ctl.NewClient(o.admins[(entry+i)%len(o.admins)])
		if c.Get("/v1/config", url.Values{"current": {"true"}}, &d) == nil {
			return d.Version
		}
	}
	return 0
}

// send sends an order until it has a clear answer: accepted, or another change
// stands on the same version.
func (o *operators) send(base uint64, entry int) {
	o.mu.Lock()
	o.next++
	ord := order{id: uuid.NewString(), base: base, entry: fmt.Sprintf("soak/extra-%d#deadline", o.next), value: fmt.Sprintf("%dms", 1000+o.next)}
	o.mu.Unlock()
	req := node.ChangeRequest{ID: ord.id, Base: base, Set: settings.Entries{ord.entry: ord.value}, Author: "soak"}
	for until := time.Now().Add(orderWait); time.Now().Before(until); {
		var res node.ChangeResult
		err := ctl.NewClient(o.admins[entry%len(o.admins)]).Post("/v1/config", req, &res)
		if err == nil && res.Version > 0 {
			ord.version, ord.at = res.Version, time.Now()
			break
		}
		if err == nil || fault.CodeOf(err) == fault.Conflict {
			break
		}
		entry++
		time.Sleep(orderPause)
	}
	o.mu.Lock()
	o.orders = append(o.orders, ord)
	o.mu.Unlock()
}

// accepted returns the orders that were accepted.
func (o *operators) accepted() []order {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []order
	for _, ord := range o.orders {
		if ord.version > 0 {
			out = append(out, ord)
		}
	}
	return out
}
