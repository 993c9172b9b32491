package node

import (
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"

	"github.com/google/uuid"
	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/settings"
)

// The answer to a keyed request must not be kept in memory beyond what is stored for resends.
func TestLargeAnswerToAKeyedRequestIsNotKeptInMemory(t *testing.T) {
	const size, chunk, bound = 32 << 20, 32 << 10, 8 << 20
	g := gomega.NewWithT(t)
	n := startReplicas(t, "a")[0]
	_, r := n.proposeChange("", 0, settings.Entries{"f/s/k#key_required": "true"})
	g.Expect(r.Reason).To(gomega.Equal("none"))
	n.awaitConfigVersion(1)
	block := make([]byte, chunk)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for range size / chunk {
			_, _ = w.Write(block)
		}
	}))
	defer server.Close()
	g.Expect(n.Announce(&Announcement{Service: "f/s", Address: server.Listener.Addr().String(), Slots: 8, Connections: 32, State: "serving"})).To(gomega.BeNil())
	n.awaitInstances("f/s", 1)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	req, err := http.NewRequest(http.MethodPost, "http://"+n.opt.HTTP+"/call/f/s/k", nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	req.Header.Set(HeaderIdempotencyKey, uuid.Must(uuid.NewV7()).String())
	resp, err := http.DefaultClient.Do(req)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	got, err := io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	runtime.ReadMemStats(&after)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got).To(gomega.BeEquivalentTo(size))
	g.Expect(after.TotalAlloc - before.TotalAlloc).To(gomega.BeNumerically("<", bound))
}
