package confstore

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/settings"
)

// changeWithRevision returns a change from revision on to the given one.
func changeWithRevision(id string, base, on, revision uint64) Change {
	return Change{ID: id, Base: base, BaseRevision: on, Revision: revision, Patch: settings.Patch{Set: settings.Entries{"#deadline": "4s"}}}
}

// TestConcurrentDocumentsWithOneRevisionHaveOneWinner covers two operators who
// race for a revision, gaps between revisions, and a resend.
func TestConcurrentDocumentsWithOneRevisionHaveOneWinner(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	g.Expect(s.Apply(changeWithRevision("first", 0, 0, 3)).Code).To(gomega.Equal(fault.None))
	g.Expect(s.Revision()).To(gomega.Equal(uint64(3)))
	g.Expect(s.Apply(changeWithRevision("east", 1, 3, 7)).Code).To(gomega.Equal(fault.None))
	lost := s.Apply(changeWithRevision("west", 2, 3, 7))
	g.Expect(lost.Code).To(gomega.Equal(fault.Conflict))
	g.Expect(lost.Revision).To(gomega.Equal(uint64(7)))
	g.Expect(s.Apply(changeWithRevision("east", 1, 3, 7)).Code).To(gomega.Equal(fault.None), "resend of an accepted document")
	g.Expect(s.Apply(changeWithRevision("back", 2, 7, 6)).Code).To(gomega.Equal(fault.Conflict), "revision lower than the current one")
	g.Expect(s.Revision()).To(gomega.Equal(uint64(7)))
}

// TestDocumentOnOutdatedBaseIsAcceptedOnRetry guards against a conflict that is
// kept for a change whose base missed a change without a revision.
func TestDocumentOnOutdatedBaseIsAcceptedOnRetry(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	s.Apply(changeWithRevision("first", 0, 0, 3))
	s.Apply(Change{ID: "other", Base: 1, Patch: settings.Patch{Set: settings.Entries{"#queue_max": "9"}}})
	g.Expect(s.Apply(changeWithRevision("late", 1, 3, 5)).Code).To(gomega.Equal(fault.Conflict))
	g.Expect(s.Apply(changeWithRevision("late", 2, 3, 5)).Code).To(gomega.Equal(fault.None))
	g.Expect(s.Revision()).To(gomega.Equal(uint64(5)))

	data, err := s.Snapshot()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	again, err := Restore(data)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(again.Revision()).To(gomega.Equal(uint64(5)))
}
