package node

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/settings"
)

// The line of a request must tell the settings by which it was judged, not those active at its
// end.
func TestRequestLogTellsDecidingVersion(t *testing.T) {
	g := gomega.NewWithT(t)
	n := startNode(t, "a", nil, nil)
	n.applyDocument(7, settings.Entries{"#deadline": "4s"})
	c := &call{}
	g.Expect(c.configVersion()).To(gomega.BeZero())
	n.bindConfig(c)
	n.applyDocument(8, settings.Entries{"#deadline": "5s"})
	g.Expect(c.configVersion()).To(gomega.Equal(uint64(7)))
	g.Expect(c.hasOutdatedConfig()).To(gomega.BeFalse(), "version 8 was not heard of")
	n.gossip.raiseHighestVersion(9)
	n.bindConfig(c)
	g.Expect(c.configVersion()).To(gomega.Equal(uint64(8)))
	g.Expect(c.hasOutdatedConfig()).To(gomega.BeTrue())
}
