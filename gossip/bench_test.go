package gossip

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
)

// newLoadedCore returns a core that knows the given number of members and the summaries
// of 150 services in each of 21 other failure domains.
func newLoadedCore(members int) *Core {
	c := New(Member{ID: "self", Addr: "10.0.0.1:7002"}, testOptions(rand.New(rand.NewPCG(1, 1))))
	for i := range members {
		m := Member{ID: fmt.Sprintf("%016x", i), Addr: fmt.Sprintf("10.0.%d.%d:7002", i/250, i%250), Meta: make([]byte, 120)}
		c.MergeRecords(0, []Record{memberRecord(m)})
	}
	for d := range 21 {
		for s := range 150 {
			c.MergeRecords(0, []Record{{Key: fmt.Sprintf("s/domain-%d/fleet/service-%d", d, s), Stamp: 1, Payload: make([]byte, 300)}})
		}
	}
	c.broadcasts = nil
	c.TakeOutput()
	return c
}

func BenchmarkProbeRound1091Members(b *testing.B) {
	c := newLoadedCore(1091)
	now := time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		now += 500 * time.Millisecond
		c.Tick(now)
		c.HandlePacket(now, "10.0.0.2:7002", Packet{Kind: Ping, From: fmt.Sprintf("%016x", 1), Seq: 1})
		c.HandlePacket(now, "10.0.0.2:7002", Packet{Kind: Ack, From: fmt.Sprintf("%016x", 1), Seq: c.seq})
		c.TakeOutput()
	}
}

// BenchmarkMemory24000Members reports the memory per core of 22 cores that each know the
// 1,091 members of one failure domain.
func BenchmarkMemory24000Members(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		var cores []*Core
		for range 22 {
			cores = append(cores, newLoadedCore(1091))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/22/(1<<20), "MB/core")
		runtime.KeepAlive(cores)
	}
}

// BenchmarkQuery answers a query as a replica does for each node of its failure domain.
func BenchmarkQuery(b *testing.B) {
	c := newLoadedCore(1091)
	datagram := EncodePacket(Packet{Kind: Query, From: fmt.Sprintf("%016x", 1), Seq: 1 << 20, Config: 1 << 20})
	b.ReportAllocs()
	for b.Loop() {
		p, err := DecodePacket(datagram)
		if err != nil {
			b.Fatal(err)
		}
		c.HandlePacket(time.Second, "10.0.0.2:7002", p)
		outs, _ := c.TakeOutput()
		outs[0].Packet.ConfigAge = 100
		EncodePacket(outs[0].Packet)
	}
}
