package node

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/go-kit/log"

	"github.com/umberthread/umberthread/gossip"
	"github.com/umberthread/umberthread/member"
)

// BenchmarkPublishLargeRoutingTable builds the routing table of a node with 1,091 members in
// its failure domain and 150 services in each of 21 others.
func BenchmarkPublishLargeRoutingTable(b *testing.B) {
	o := DefaultOptions()
	o.Domain = "own"
	n, err := New(o, log.NewNopLogger())
	if err != nil {
		b.Fatal(err)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	t := n.gossip.views
	for i := range 1091 {
		m := member.Meta{Name: fmt.Sprint(i), Data: fmt.Sprintf("10.0.%d.%d:7001", i/250, i%250), Service: fmt.Sprintf("fleet/service-%d", i%150), Slots: 40, Weight: 1, State: member.Serving}
		t.handleEvent(gossip.Event{Member: &gossip.Member{ID: fmt.Sprint(i), Addr: "10.0.0.1:7002", Meta: m.Encode()}})
	}
	for d := range 21 {
		for s := range 150 {
			sum := member.Summary{Domain: fmt.Sprintf("domain-%d", d), Service: fmt.Sprintf("fleet/service-%d", s)}
			for i := range member.SummaryInstances {
				sum.Instances = append(sum.Instances, member.RemoteInstance{ID: fmt.Sprintf("%d-%d-%d", d, s, i), Addr: fmt.Sprintf("10.%d.%d.%d:7001", d, s, i), Slots: 40, Weight: 1})
			}
			t.handleEvent(gossip.Event{Record: gossip.Record{Key: member.SummaryKey(sum.Domain, sum.Service), Payload: sum.Encode()}})
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		t.publish()
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/(1<<20), "MB")
	runtime.KeepAlive(n)
}
