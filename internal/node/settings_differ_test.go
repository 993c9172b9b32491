package node

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/internal/standin"
	"github.com/umberthread/umberthread/settings"
)

// TestRequestIsJudgedByTheSettingsOfItsEntry guards against a node beside a backend server that
// refuses, cuts, shortens or ends a request by settings other than those by which it was let in.
func TestRequestIsJudgedByTheSettingsOfItsEntry(t *testing.T) {
	const serviceTime, size = 300 * time.Millisecond, 200_000
	document := func(kind string) string { return "[fleet.suva.service.doc-vault.kind.upload]\n" + kind }
	// Each pair is tried in both directions, but for those of which the narrow one rightly refuses the
	// request at its entry.
	for _, c := range []struct {
		setting, wide, narrow string
		refuses               bool
	}{
		{"a body that only the entry allows", "body_max = 1000000\n", "body_max = 10\n", true},
		{"a time limit that only the entry allows", `deadline = "9s"` + "\n", `deadline = "100ms"` + "\n", true},
		{"a key that only the node beside the server requires", "key_required = false\n", "key_required = true\n", true},
		{"the largest body", "body_max = 1000000\n", "body_max = 250000\n", false},
		{"the size up to which a body is kept", "replay_max = 1000000\n", "replay_max = 10\n", false},
		{"the time limit", `deadline = "9s"` + "\n", `deadline = "2s"` + "\n", false},
		{"whether it may run twice", "idempotent = true\n", "idempotent = false\n", false},
		{"the class", `class = "protected"` + "\n", `class = "background"` + "\n", false},
		{"the number of attempts", "attempts_max = 3\n", "attempts_max = 1\n", false},
	} {
		for direction, pair := range map[string][2]string{"entry wide": {c.wide, c.narrow}, "entry narrow": {c.narrow, c.wide}} {
			if c.refuses && direction == "entry narrow" {
				continue
			}
			t.Run(c.setting+", "+direction, func(t *testing.T) {
				t.Parallel()
				g := gomega.NewWithT(t)
				beside := startNode(t, "suva-a", nil, nil)
				useSettings(t, document(pair[1]), beside)
				s := startStandin(t, beside, "suva/doc-vault", 4, map[string]standin.KindBehavior{"upload": {MeanServiceTime: serviceTime, ResponseBytes: 64}})
				beside.awaitInstances("suva/doc-vault", 1)
				entry := startNode(t, "suva-a", []string{beside.opt.Control}, nil)
				entry.awaitConfigVersion(1)
				tree, err := settings.ParseTOML([]byte(document(pair[0])))
				g.Expect(err).NotTo(gomega.HaveOccurred())
				entry.conf.Store(&config{version: 1, entries: tree.Entries(), tree: tree})
				entry.awaitInstances("suva/doc-vault", 1)
				for i := range 3 {
					id := fmt.Sprint("up-", i)
					r := entry.call("suva/doc-vault/upload", id, make([]byte, size), nil)
					g.Expect(r.status).To(gomega.Equal(http.StatusOK), r.body)
					g.Expect(r.body).To(gomega.HavePrefix(fmt.Sprintf("%s %d\n", id, size)))
					g.Expect(s.RequestStats()[id].Executions).To(gomega.Equal(1))
				}
			})
		}
	}
}
