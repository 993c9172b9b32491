package codec

import (
	"runtime"
	"testing"

	"github.com/onsi/gomega"
)

type item struct {
	Name string
	Load float64
}

type message struct {
	Name  string
	Items []item
	Data  []byte
	Map   map[string]int
}

// TestMalformedMessagesDoNotLeakMemory guards against decoder buffers that grow
// with each malformed message.
func TestMalformedMessagesDoNotLeakMemory(t *testing.T) {
	g := gomega.NewWithT(t)
	var after runtime.MemStats
	for range 200 {
		var m message
		g.Expect(Decode([]byte("\x94\xa1x\x90\xc6\xff\xff\xff\xff\x00"), &m)).NotTo(gomega.Succeed())
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	g.Expect(after.HeapAlloc).To(gomega.BeNumerically("<", 64<<20), "bytes in use")
}

// TestOversizedLengthsAllocateNoMemory decodes short messages with lengths of
// billions of entries.
func TestOversizedLengthsAllocateNoMemory(t *testing.T) {
	for name, b := range map[string]string{
		"array":            "\x94\xa1x\xdd\xdd\xdd10\x92\xa1x\xa1x",
		"top-level array":  "\xdd\xff\xff\xff\xff",
		"binary":           "\x94\xa1x\x90\xc6\xff\xff\xff\xff\x00",
		"string":           "\x94\xdb\xff\xff\xff\xffx",
		"map":              "\x94\xa1x\x90\xc4\x00\xdf\xff\xff\xff\xff\xa1x\x01",
		"extension":        "\xc9\xc9\xc9\xc9\xc9\xc9\xc9\x06\x06",
		"nested extension": "\x94\xa1x\x91\xc9\xff\xff\xff\xff\x06\x06",
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			var m message
			err := Decode([]byte(b), &m)
			runtime.ReadMemStats(&after)
			g.Expect(err).To(gomega.HaveOccurred())
			g.Expect(after.TotalAlloc-before.TotalAlloc).To(gomega.BeNumerically("<", 4<<20), "bytes allocated")
		})
	}
}
