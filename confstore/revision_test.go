package confstore

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/settings"
)

func numbered(id string, base, on, revision uint64) Change {
	return Change{ID: id, Base: base, BaseRevision: on, Revision: revision, Patch: settings.Patch{Set: settings.Entries{"#deadline": "4s"}}}
}

// TestOfDocumentsOnOneNumberOneWins: two operators, uneven numbers, resends
// after lost answers.
func TestOfDocumentsOnOneNumberOneWins(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	g.Expect(s.Apply(numbered("first", 0, 0, 3)).Code).To(gomega.Equal(fault.None))
	g.Expect(s.Revision()).To(gomega.Equal(uint64(3)))
	g.Expect(s.Apply(numbered("east", 1, 3, 7)).Code).To(gomega.Equal(fault.None))
	lost := s.Apply(numbered("west", 2, 3, 7))
	g.Expect(lost.Code).To(gomega.Equal(fault.Conflict))
	g.Expect(lost.Revision).To(gomega.Equal(uint64(7)))
	g.Expect(s.Apply(numbered("east", 1, 3, 7)).Code).To(gomega.Equal(fault.None), "an accepted document is acknowledged again")
	g.Expect(s.Apply(numbered("back", 2, 7, 6)).Code).To(gomega.Equal(fault.Conflict), "a number must grow")
	g.Expect(s.Revision()).To(gomega.Equal(uint64(7)))
}

// TestDocumentOnAnOldBaseIsProposedAgain: the proposing node had not heard of
// an unnumbered change; the same document on the new version is accepted.
func TestDocumentOnAnOldBaseIsProposedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	s.Apply(numbered("first", 0, 0, 3))
	s.Apply(Change{ID: "other", Base: 1, Patch: settings.Patch{Set: settings.Entries{"#queue_max": "9"}}})
	g.Expect(s.Apply(numbered("late", 1, 3, 5)).Code).To(gomega.Equal(fault.Conflict))
	g.Expect(s.Apply(numbered("late", 2, 3, 5)).Code).To(gomega.Equal(fault.None))
	g.Expect(s.Revision()).To(gomega.Equal(uint64(5)))

	data, err := s.Snapshot()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	again, err := Restore(data)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(again.Revision()).To(gomega.Equal(uint64(5)))
}
