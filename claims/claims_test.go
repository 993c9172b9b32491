package claims

import (
	"fmt"
	"testing"

	"github.com/google/uuid"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// keyAt returns a UUID of version 7 with the given creation time and number.
func keyAt(ms int64, n int) string {
	var u uuid.UUID
	for i := range 6 {
		u[i] = byte(ms >> (8 * (5 - i)))
	}
	u[6] = 0x70
	u[8] = 0x80
	u[14], u[15] = byte(n>>8), byte(n)
	return u.String()
}

func TestKeyTime(t *testing.T) {
	g := gomega.NewWithT(t)
	ms, ok := KeyTime(keyAt(1_790_000_000_123, 7))
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(ms).To(gomega.Equal(int64(1_790_000_000_123)))
	_, ok = KeyTime(uuid.NewString())
	g.Expect(ok).To(gomega.BeFalse())
}

// grantOracle records all grants, without eviction.
type grantOracle struct {
	// activeGrants counts the grants of each key that were not released.
	activeGrants map[string]int
	// holder is the token to which a key was last granted.
	holder   map[string]string
	finished map[string]bool
}

// TestAtMostOnce applies duplicated, delayed and reordered commands, with keys expiring
// and snapshots restored, and checks that no key is granted twice.
// TestForgettingWithoutFloorIsFound shows that the check detects a store without an
// eviction floor.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkAtMostOnce(t, false, t.Fatalf) })
}

func TestForgettingWithoutFloorIsFound(t *testing.T) {
	found := false
	rapid.Check(t, func(t *rapid.T) {
		if !found {
			checkAtMostOnce(t, true, func(string, ...any) { found = true })
		}
	})
	if !found {
		t.Fatal("the missing floor was not detected")
	}
}

func checkAtMostOnce(t *rapid.T, noFloor bool, fail func(string, ...any)) {
	st := New()
	o := grantOracle{map[string]int{}, map[string]string{}, map[string]bool{}}
	now := int64(1_790_000_000_000)
	var log []Command
	tokens := 0
	for range rapid.IntRange(20, 200).Draw(t, "steps") {
		now += int64(rapid.IntRange(0, 400).Draw(t, "pause"))
		if noFloor {
			st.evictionFloors = map[string]int64{}
		}
		switch rapid.IntRange(0, 9).Draw(t, "what") {
		case 0:
			data, err := st.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			if st, err = Restore(data); err != nil {
				t.Fatal(err)
			}
		case 1, 2:
			if len(log) > 0 {
				// Deliver an old command again.
				applyAndCheck(st, &o, log[rapid.IntRange(0, len(log)-1).Draw(t, "old")], fail)
			}
		case 3, 4, 5, 6:
			tokens++
			createdMs := now - int64(rapid.IntRange(0, 3).Draw(t, "age"))*700
			c := Command{
				Op: OpBegin, Kind: "k", Key: keyAt(createdMs-createdMs%500, rapid.IntRange(0, 2).Draw(t, "n")), Token: fmt.Sprint(tokens),
				Fingerprint: 1, NowMs: now, LeaseMs: 300, RetainMs: int64(rapid.SampledFrom([]int{1000, 1000, 2500}).Draw(t, "retain")),
			}
			log = append(log, c)
			applyAndCheck(st, &o, c, fail)
		default:
			if len(log) == 0 {
				continue
			}
			c := log[rapid.IntRange(0, len(log)-1).Draw(t, "which")]
			c.NowMs = now
			c.Op = rapid.SampledFrom([]Op{OpFinish, OpRelease}).Draw(t, "op")
			c.Outcome = &Outcome{Status: 200}
			if c.Op == OpRelease && o.finished[c.Key+c.Token] {
				// A holder never releases a key that it has finished.
				continue
			}
			log = append(log, c)
			applyAndCheck(st, &o, c, fail)
		}
	}
}

func applyAndCheck(st *Store, o *grantOracle, c Command, fail func(string, ...any)) {
	r := st.Apply(&c)
	switch {
	case c.Op == OpBegin && r.Verdict == Granted && o.holder[c.Key] != c.Token:
		o.activeGrants[c.Key]++
		o.holder[c.Key] = c.Token
		if o.activeGrants[c.Key] > 1 {
			fail("key %s was granted %d times", c.Key, o.activeGrants[c.Key])
		}
	case c.Op == OpRelease && r.Verdict == Applied:
		o.activeGrants[c.Key]--
		o.holder[c.Key] = ""
	case c.Op == OpFinish:
		o.finished[c.Key+c.Token] = true
	}
}

func TestVerdicts(t *testing.T) {
	g := gomega.NewWithT(t)
	st := New()
	now := int64(1_790_000_000_000)
	key := keyAt(now, 1)
	begin := func(token string, at int64, fingerprint uint64) Verdict {
		return st.Apply(&Command{Op: OpBegin, Kind: "k", Key: key, Token: token, Fingerprint: fingerprint, NowMs: at, LeaseMs: 100, RetainMs: 1000}).Verdict
	}
	g.Expect(begin("a", now, 1)).To(gomega.Equal(Granted))
	g.Expect(begin("b", now+50, 1)).To(gomega.Equal(Running))
	g.Expect(begin("b", now+50, 2)).To(gomega.Equal(KeyMismatch))
	g.Expect(begin("b", now+200, 1)).To(gomega.Equal(OutcomeUnknown))
	// The holder reports after its lease expired; its outcome is accepted.
	out := &Outcome{Status: 201}
	g.Expect(st.Apply(&Command{Op: OpFinish, Kind: "k", Key: key, Token: "a", NowMs: now + 300, Outcome: out}).Verdict).To(gomega.Equal(Applied))
	g.Expect(begin("c", now+400, 1)).To(gomega.Equal(Replay))
	g.Expect(begin("c", now+5000, 1)).To(gomega.Equal(Expired))
}
