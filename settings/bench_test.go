package settings

import (
	"fmt"
	"runtime"
	"testing"
)

// largeDocument returns a document with 3,300 services of four request kinds each.
func largeDocument() Entries {
	e := Entries{"#deadline": "5s"}
	for s := range 3300 {
		svc := fmt.Sprintf("fleet%d/service-%d", s%2, s)
		e[svc+"#queue_max"] = "16"
		for k := range 4 {
			kind := fmt.Sprintf("%s/kind-%d", svc, k)
			e[kind+"#class"] = "normal"
			e[kind+"#deadline"] = "3s"
		}
	}
	return e
}

func BenchmarkNewTree3300Services(b *testing.B) {
	e := largeDocument()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := NewTree(e); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkApplyOneEntry3300Services(b *testing.B) {
	t, err := NewTree(largeDocument())
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := t.Apply(Patch{Set: Entries{"fleet0/service-0#queue_max": "17"}}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkMemory3300Services reports the heap growth for one document, in MiB.
func BenchmarkMemory3300Services(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		t, err := NewTree(largeDocument())
		if err != nil {
			b.Fatal(err)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/(1<<20), "MB")
		runtime.KeepAlive(t)
	}
}
