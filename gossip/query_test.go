package gossip

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/umberthread/umberthread/internal/codec"
)

// TestQueryDoesNotMergeMemberships guards against members of one failure domain that become known
// in another one, whose node only asked for the settings' version.
func TestQueryDoesNotMergeMemberships(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newSimNetwork(2, 1)
	w.cores["other"] = New(Member{ID: "other", Addr: "other"}, testOptions(w.rng))
	asking, asked := w.cores["other"], w.cores["n000"]
	asked.Tick(time.Second)
	asked.TakeOutput()
	asking.Tick(time.Second)
	asking.Query("n000")
	outs, _ := asking.TakeOutput()
	g.Expect(outs).To(gomega.HaveLen(1))
	g.Expect(outs[0].Packet.Records).To(gomega.BeEmpty())
	asked.HandlePacket(time.Second, "other", outs[0].Packet)
	acks, _ := asked.TakeOutput()
	g.Expect(acks).To(gomega.HaveLen(1))
	g.Expect(acks[0].Packet.Records).To(gomega.BeEmpty())
	asking.HandlePacket(1100*time.Millisecond, "n000", acks[0].Packet)
	g.Expect(asking.TakeAnswers()).To(gomega.Equal([]Answer{{"n000", time.Second, acks[0].Packet}}))
	g.Expect(asking.Members()).To(gomega.BeEmpty())
	g.Expect(asked.Members()).To(gomega.HaveLen(1))
}

// earlierPacket is a packet of an earlier release, which has no age.
type earlierPacket struct {
	Kind    PacketKind
	From    string
	Seq     uint64
	Target  string
	By      string
	Records []Record
	Config  uint64
}

// TestPacketsOfOtherReleasesAreDecoded guards against nodes of two releases that do not
// understand each other during an upgrade.
func TestPacketsOfOtherReleasesAreDecoded(t *testing.T) {
	g := gomega.NewWithT(t)
	p, err := DecodePacket(codec.Encode(&earlierPacket{Kind: Ack, From: "a", Seq: 3, Config: 7}))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(p).To(gomega.Equal(Packet{Kind: Ack, From: "a", Seq: 3, Config: 7}))
	var earlier earlierPacket
	g.Expect(codec.Decode(EncodePacket(Packet{Kind: Ack, From: "a", Seq: 3, Config: 7, ConfigAge: 9}), &earlier)).To(gomega.Succeed())
	g.Expect(earlier).To(gomega.Equal(earlierPacket{Kind: Ack, From: "a", Seq: 3, Config: 7}))
}

// TestAckForAnEarlierProcessEndsNoMember guards against a live member that is declared dead, or believed
// to have answered: an ack of a ping by the process that ran before at this node's address arrives late,
// and a ping to another member has the same sequence number.
func TestAckForAnEarlierProcessEndsNoMember(t *testing.T) {
	g := gomega.NewWithT(t)
	// probeOf starts a process at one address, which pings a member, and returns the ping's number.
	probeOf := func(process, member string) (*Core, uint64) {
		c := New(Member{ID: process, Addr: "here"}, testOptions(newSimNetwork(1, 1).rng))
		c.HandlePacket(0, member, Packet{Kind: Ack, From: member, Records: []Record{memberRecord(Member{ID: member, Addr: member})}})
		c.Tick(time.Second)
		outs, _ := c.TakeOutput()
		g.Expect(outs).NotTo(gomega.BeEmpty())
		return c, outs[len(outs)-1].Packet.Seq
	}
	_, earlierSeq := probeOf("earlier-process", "first")
	c, seq := probeOf("process", "second")
	g.Expect(seq).NotTo(gomega.Equal(earlierSeq))
	c.HandlePacket(1100*time.Millisecond, "first", Packet{Kind: Ack, From: "first", Seq: earlierSeq})
	g.Expect(c.TakeAnswers()).To(gomega.BeEmpty())
	g.Expect(c.Members()).To(gomega.ContainElement(gomega.And(gomega.HaveField("ID", "second"), gomega.HaveField("Status", Alive))))
}
