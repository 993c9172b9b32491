package control

import (
	"bytes"
	"encoding/gob"
	"io"
	"net"
	"net/rpc"
	"testing"
	"testing/iotest"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/fault"
)

// message is an encoded stream of gob messages of all sizes of lengths.
func message(t *testing.T) []byte {
	var b bytes.Buffer
	enc := gob.NewEncoder(&b)
	for _, n := range []int{0, 1, 100, 127, 128, 300, 70_000, 17_000_000} {
		if err := enc.Encode(SubmitRequest{Group: n, Command: make([]byte, n)}); err != nil {
			t.Fatal(err)
		}
	}
	return b.Bytes()
}

// A stream of proper messages is passed on unchanged, however it is cut into reads.
func TestMessageReaderPassesMessagesOn(t *testing.T) {
	g := gomega.NewWithT(t)
	want := message(t)
	for _, r := range []io.Reader{bytes.NewReader(want), iotest.HalfReader(bytes.NewReader(want))} {
		got, err := io.ReadAll(&messageReader{r: r})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(bytes.Equal(got, want)).To(gomega.BeTrue())
	}
	short := want[:80_000]
	got, err := io.ReadAll(&messageReader{r: iotest.OneByteReader(bytes.NewReader(short))})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(bytes.Equal(got, short)).To(gomega.BeTrue())
}

// A length that no proper message has ends the stream before anything is allocated for it.
func TestMessageReaderRejectsLengths(t *testing.T) {
	for name, text := range map[string]string{
		"zero":     "\x00",
		"one GB":   "\xfc\x3f\xff\xff\xf0",
		"longest":  "\xf8\xff\xff\xff\xff\xff\xff\xff\xff",
		"too long": "\x80\x01",
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			_, err := io.ReadAll(&messageReader{r: bytes.NewReader([]byte(text))})
			g.Expect(fault.CodeOf(err)).To(gomega.Equal(fault.Protocol))
		})
	}
}

// heldCalls is a service whose calls last until release is closed.
type heldCalls struct {
	begun   chan struct{}
	release chan struct{}
}

func (h *heldCalls) Wait(_ *Empty, _ *Empty) error {
	h.begun <- struct{}{}
	<-h.release
	return nil
}

// A connection that begins calls without end has only so many handled at a time, and all are answered.
func TestPendingCallsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	const calls = 3 * maxPendingCalls
	h := &heldCalls{begun: make(chan struct{}, calls), release: make(chan struct{})}
	server := rpc.NewServer()
	g.Expect(server.RegisterName(ServiceName, h)).To(gomega.Succeed())
	client, accepted := net.Pipe()
	go server.ServeCodec(NewServerCodec(accepted, &ByteCounter{}))
	c := rpc.NewClient(client)
	defer func() { _ = c.Close() }()
	done := make(chan *rpc.Call, calls)
	go func() {
		for range calls {
			c.Go(ServiceName+".Wait", &Empty{}, &Empty{}, done)
		}
	}()
	g.Eventually(func() int { return len(h.begun) }, "5s").Should(gomega.Equal(maxPendingCalls))
	g.Consistently(func() int { return len(h.begun) }, 100*time.Millisecond).Should(gomega.Equal(maxPendingCalls))
	close(h.release)
	for range calls {
		g.Expect((<-done).Error).NotTo(gomega.HaveOccurred())
	}
}
