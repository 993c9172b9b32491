package retry_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/retry"
)

func TestDecide(t *testing.T) {
	sound := retry.Call{Replayable: true, Attempts: 1}
	with := func(change func(*retry.Call)) retry.Call {
		c := sound
		change(&c)
		return c
	}
	idempotent := with(func(c *retry.Call) { c.Idempotent = true })
	for name, x := range map[string]struct {
		call retry.Call
		f    retry.Failure
		want retry.Verdict
	}{
		"a body that was streamed":               {retry.Call{Attempts: 1}, retry.Failure{Code: fault.Rejected, Chosen: true}, retry.GiveUp},
		"turned away by its server":              {sound, retry.Failure{Code: fault.Rejected, Chosen: true}, retry.Paid},
		"may have run, not idempotent":           {sound, retry.Failure{Code: fault.PeerLost, Run: fault.ExecutionUnknown, Chosen: true}, retry.GiveUp},
		"may have run, idempotent":               {idempotent, retry.Failure{Code: fault.PeerLost, Run: fault.ExecutionUnknown, Chosen: true}, retry.Paid},
		"an instance that leaves":                {sound, retry.Failure{Code: fault.Draining, Chosen: true}, retry.Free},
		"the fourth one that leaves":             {with(func(c *retry.Call) { c.Free = 3 }), retry.Failure{Code: fault.Draining, Chosen: true}, retry.Paid},
		"an overloaded instance":                 {sound, retry.Failure{Code: fault.Overload, Chosen: true}, retry.Paid},
		"a second overloaded instance":           {with(func(c *retry.Call) { c.Attempts = 2 }), retry.Failure{Code: fault.Overload, Chosen: true}, retry.GiveUp},
		"nobody takes it":                        {sound, retry.Failure{Code: fault.Overload}, retry.GiveUp},
		"its time is over":                       {idempotent, retry.Failure{Code: fault.Deadline, Run: fault.ExecutionUnknown, Chosen: true}, retry.GiveUp},
		"offered to as many as may be, rejected": {with(func(c *retry.Call) { c.Offered, c.OfferMax = 2, 2 }), retry.Failure{Code: fault.Rejected, Chosen: true}, retry.Paid},
		"offered to as many as may be, lost":     {with(func(c *retry.Call) { c.Offered, c.OfferMax, c.Idempotent = 2, 2, true }), retry.Failure{Code: fault.BackendLost, Run: fault.ExecutionUnknown, Chosen: true}, retry.GiveUp},
		"an answer that says failed":             {idempotent, retry.Failure{Run: fault.Executed, Chosen: true}, retry.Paid},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(retry.Decide(x.call, x.f)).To(Equal(x.want))
		})
	}
}

// What may have run is sent once more only if it may run twice, whatever else is true.
func TestWhatMayHaveRunIsNotRunAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := retry.Call{
			Replayable: rapid.Bool().Draw(t, "replayable"), Attempts: rapid.IntRange(1, 9).Draw(t, "attempts"),
			Free: rapid.IntRange(0, 4).Draw(t, "free"), Offered: rapid.IntRange(0, 4).Draw(t, "offered"), OfferMax: rapid.IntRange(0, 4).Draw(t, "most"),
		}
		f := retry.Failure{
			Code: fault.Code(rapid.IntRange(1, int(fault.Rejected)).Draw(t, "code")), Chosen: rapid.Bool().Draw(t, "chosen"),
			Run: rapid.SampledFrom([]fault.Execution{fault.ExecutionUnknown, fault.Executed}).Draw(t, "run"),
		}
		if retry.Decide(c, f) != retry.GiveUp {
			t.Fatalf("%+v is sent again after %+v", c, f)
		}
	})
}
