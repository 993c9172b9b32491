package member

import (
	"math"
	"testing"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/internal/codec"
)

func serving() Meta {
	return Meta{Name: "n", Data: "10.0.0.1:7001", Service: "f/s", Slots: 8, Weight: 1, State: Serving, Replica: "r"}
}

// TestAMetaOfAnotherWriterNamesNoBackendServer: the member and its replica
// hold, the backend server is not used.
func TestAMetaOfAnotherWriterNamesNoBackendServer(t *testing.T) {
	for name, change := range map[string]func(*Meta){
		"no address":         func(m *Meta) { m.Data = "" },
		"a name as address":  func(m *Meta) { m.Data = "host:7001" },
		"no port":            func(m *Meta) { m.Data = "10.0.0.1" },
		"no slots":           func(m *Meta) { m.Slots = 0 },
		"negative slots":     func(m *Meta) { m.Slots = -3 },
		"slots beyond all":   func(m *Meta) { m.Slots = 1 << 30 },
		"weight not a value": func(m *Meta) { m.Weight = math.NaN() },
		"infinite weight":    func(m *Meta) { m.Weight = math.Inf(1) },
		"no weight":          func(m *Meta) { m.Weight = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			m := serving()
			change(&m)
			got, err := DecodeMeta(m.Encode())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(got.State).To(gomega.Equal(Absent))
			g.Expect(got.Replica).To(gomega.Equal("r"))
		})
	}
	g := gomega.NewWithT(t)
	m := serving()
	got, err := DecodeMeta(m.Encode())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(*got).To(gomega.Equal(m))
	_, err = DecodeMeta(codec.Encode(map[string]string{"State": "serving"}))
	g.Expect(err).To(gomega.HaveOccurred())
}

// TestTheOtherInstancesOfASummaryHold: one that cannot be used is left out.
func TestTheOtherInstancesOfASummaryHold(t *testing.T) {
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

func FuzzDecode(f *testing.F) {
	m := serving()
	f.Add(m.Encode())
	s := Summary{Domain: "d", Service: "f/s", Instances: []RemoteInstance{{ID: "a", Addr: "10.0.0.1:7001", Slots: 8, Weight: 1}}}
	f.Add(s.Encode())
	l := Link{Domain: "d", By: "a", Reachable: true, Control: []string{"10.0.0.1:7002"}}
	f.Add(l.Encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		if m, err := DecodeMeta(data); err == nil && m.State == Serving && !usable(m.Data, m.Slots, m.Weight) {
			t.Fatalf("a backend server that cannot be used is named: %+v", m)
		}
		if s, err := DecodeSummary(data); err == nil && s.Service != ReplicaService {
			for _, r := range s.Instances {
				if !usable(r.Addr, r.Slots, r.Weight) {
					t.Fatalf("an instance that cannot be used is named: %+v", r)
				}
			}
		}
		_, _ = DecodeLink(data)
	})
}
