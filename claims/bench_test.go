package claims

import (
	"fmt"
	"runtime"
	"testing"
)

func BenchmarkBeginFinish(b *testing.B) {
	st := New()
	now := int64(1_790_000_000_000)
	out := &Outcome{Status: 200, ContentType: "application/json", Body: make([]byte, 200)}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		key := keyAt(now+int64(i/1000), i%65536)
		c := Command{Op: OpBegin, Kind: "f/s/k", Key: key, Token: "t", NowMs: now, LeaseMs: 5000, RetainMs: 86_400_000}
		st.Apply(&c)
		c.Op, c.Outcome = OpFinish, out
		st.Apply(&c)
	}
}

// BenchmarkMemory reports the memory used per finished key.
func BenchmarkMemory(b *testing.B) {
	const keys = 200_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		st := New()
		for i := range keys {
			key := keyAt(1_790_000_000_000+int64(i), 1)
			c := Command{Op: OpBegin, Kind: "f/s/k", Key: key, Token: fmt.Sprint(i), NowMs: 1_790_000_000_000, LeaseMs: 5000, RetainMs: 86_400_000}
			st.Apply(&c)
			c.Op, c.Outcome = OpFinish, &Outcome{Status: 200, Body: make([]byte, 200)}
			st.Apply(&c)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/keys, "B/key")
		runtime.KeepAlive(st)
	}
}
