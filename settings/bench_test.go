package settings

import (
	"fmt"
	"testing"
)

// large is a document at the size of two years from now.
func large() Entries {
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
	e := large()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := NewTree(e); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkApplyOneEntry3300Services(b *testing.B) {
	t, err := NewTree(large())
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
