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
		"a body that was streamed":               {retry.Call{Attempts: 1}, retry.Failure{Code: fault.Rejected, InstanceChosen: true}, retry.GiveUp},
		"turned away by its server":              {sound, retry.Failure{Code: fault.Rejected, InstanceChosen: true}, retry.RetryCharged},
		"may have run, not idempotent":           {sound, retry.Failure{Code: fault.PeerLost, Execution: fault.RunUnknown, InstanceChosen: true}, retry.GiveUp},
		"may have run, idempotent":               {idempotent, retry.Failure{Code: fault.PeerLost, Execution: fault.RunUnknown, InstanceChosen: true}, retry.RetryCharged},
		"an instance that leaves":                {sound, retry.Failure{Code: fault.Draining, InstanceChosen: true}, retry.RetryUncharged},
		"the fourth one that leaves":             {with(func(c *retry.Call) { c.Uncharged = 3 }), retry.Failure{Code: fault.Draining, InstanceChosen: true}, retry.RetryCharged},
		"an overloaded instance":                 {sound, retry.Failure{Code: fault.Overload, InstanceChosen: true}, retry.RetryCharged},
		"a second overloaded instance":           {with(func(c *retry.Call) { c.Attempts = 2 }), retry.Failure{Code: fault.Overload, InstanceChosen: true}, retry.GiveUp},
		"nobody takes it":                        {sound, retry.Failure{Code: fault.Overload}, retry.GiveUp},
		"its time is over":                       {idempotent, retry.Failure{Code: fault.Deadline, Execution: fault.RunUnknown, InstanceChosen: true}, retry.GiveUp},
		"offered to as many as may be, rejected": {with(func(c *retry.Call) { c.Offered, c.MaxOffered = 2, 2 }), retry.Failure{Code: fault.Rejected, InstanceChosen: true}, retry.RetryCharged},
		"offered to as many as may be, lost":     {with(func(c *retry.Call) { c.Offered, c.MaxOffered, c.Idempotent = 2, 2, true }), retry.Failure{Code: fault.BackendLost, Execution: fault.RunUnknown, InstanceChosen: true}, retry.GiveUp},
		"an answer that says failed":             {idempotent, retry.Failure{Execution: fault.RunYes, InstanceChosen: true}, retry.RetryCharged},
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
			Uncharged: rapid.IntRange(0, 4).Draw(t, "free"), Offered: rapid.IntRange(0, 4).Draw(t, "offered"), MaxOffered: rapid.IntRange(0, 4).Draw(t, "most"),
		}
		f := retry.Failure{
			Code: fault.Code(rapid.IntRange(1, int(fault.Rejected)).Draw(t, "code")), InstanceChosen: rapid.Bool().Draw(t, "chosen"),
			Execution: rapid.SampledFrom([]fault.Run{fault.RunUnknown, fault.RunYes}).Draw(t, "run"),
		}
		if retry.Decide(c, f) != retry.GiveUp {
			t.Fatalf("%+v is sent again after %+v", c, f)
		}
	})
}
