package member

import (
	"math"
	"testing"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/internal/codec"
)

// servingMeta returns the record of a node with a serving backend server.
func servingMeta() Meta {
	return Meta{Name: "n", Data: "10.0.0.1:7001", Service: "f/s", Slots: 8, Weight: 1, State: Serving, Replica: "r"}
}

// An unusable backend server must not affect the member and its replica.
func TestDecodeMetaRejectsUnusableBackend(t *testing.T) {
	for name, change := range map[string]func(*Meta){
		"no address":           func(m *Meta) { m.Data = "" },
		"host name as address": func(m *Meta) { m.Data = "host:7001" },
		"no port":              func(m *Meta) { m.Data = "10.0.0.1" },
		"no slots":             func(m *Meta) { m.Slots = 0 },
		"negative slots":       func(m *Meta) { m.Slots = -3 },
		"too many slots":       func(m *Meta) { m.Slots = 1 << 30 },
		"weight not a number":  func(m *Meta) { m.Weight = math.NaN() },
		"infinite weight":      func(m *Meta) { m.Weight = math.Inf(1) },
		"no weight":            func(m *Meta) { m.Weight = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			m := servingMeta()
			change(&m)
			got, err := DecodeMeta(m.Encode())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(got.State).To(gomega.Equal(Absent))
			g.Expect(got.Replica).To(gomega.Equal("r"))
		})
	}
	g := gomega.NewWithT(t)
	m := servingMeta()
	got, err := DecodeMeta(m.Encode())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(*got).To(gomega.Equal(m))
	_, err = DecodeMeta(codec.Encode(map[string]string{"State": "serving"}))
	g.Expect(err).To(gomega.HaveOccurred())
}

// Only the unusable instances of a summary are omitted.
func TestDecodeSummaryKeepsUsableInstances(t *testing.T) {
	g := gomega.NewWithT(t)
	good := RemoteInstance{ID: "a", Addr: "10.0.0.1:7001", Slots: 8, Weight: 1, Start: 3}
	s := Summary{Domain: "d", Service: "f/s", Instances: []RemoteInstance{{ID: "b", Addr: "nowhere", Slots: 8, Weight: 1}, good, {ID: "c", Addr: "10.0.0.2:1", Slots: 8, Weight: math.NaN()}}}
	got, err := DecodeSummary(s.Encode())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got.Instances).To(gomega.Equal([]RemoteInstance{good}))
	replicas := Summary{Domain: "d", Service: ReplicaService, Instances: []RemoteInstance{{ID: "r", Addr: "10.0.0.1:7002"}}}
	got, err = DecodeSummary(replicas.Encode())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got.Instances).To(gomega.HaveLen(1), "replicas have no slots")
}

// FuzzDecode checks that decoded records name only usable backend servers and instances.
func FuzzDecode(f *testing.F) {
	m := servingMeta()
	f.Add(m.Encode())
	s := Summary{Domain: "d", Service: "f/s", Instances: []RemoteInstance{{ID: "a", Addr: "10.0.0.1:7001", Slots: 8, Weight: 1}}}
	f.Add(s.Encode())
	l := Link{Domain: "d", By: "a", Reachable: true, Control: []string{"10.0.0.1:7002"}}
	f.Add(l.Encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		if m, err := DecodeMeta(data); err == nil && m.State == Serving && !isUsableBackend(m.Data, m.Slots, m.Weight) {
			t.Fatalf("unusable backend server accepted: %+v", m)
		}
		if s, err := DecodeSummary(data); err == nil && s.Service != ReplicaService {
			for _, r := range s.Instances {
				if !isUsableBackend(r.Addr, r.Slots, r.Weight) {
					t.Fatalf("unusable instance accepted: %+v", r)
				}
			}
		}
		_, _ = DecodeLink(data)
	})
}
