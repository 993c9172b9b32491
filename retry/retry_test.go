package retry_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/retry"
)

func TestDecide(t *testing.T) {
	replayable := retry.Call{Replayable: true, Attempts: 1}
	with := func(change func(*retry.Call)) retry.Call {
		c := replayable
		change(&c)
		return c
	}
	idempotent := with(func(c *retry.Call) { c.Idempotent = true })
	for name, x := range map[string]struct {
		call retry.Call
		f    retry.Failure
		want retry.Verdict
	}{
		"streamed body":                       {retry.Call{Attempts: 1}, retry.Failure{Code: fault.Rejected, InstanceChosen: true}, retry.GiveUp},
		"rejected by the backend server":      {replayable, retry.Failure{Code: fault.Rejected, InstanceChosen: true}, retry.RetryCharged},
		"maybe executed, not idempotent":      {replayable, retry.Failure{Code: fault.PeerLost, Execution: fault.ExecutionUnknown, InstanceChosen: true}, retry.GiveUp},
		"maybe executed, idempotent":          {idempotent, retry.Failure{Code: fault.PeerLost, Execution: fault.ExecutionUnknown, InstanceChosen: true}, retry.RetryCharged},
		"draining instance":                   {replayable, retry.Failure{Code: fault.Draining, InstanceChosen: true}, retry.RetryUncharged},
		"fourth draining instance":            {with(func(c *retry.Call) { c.Uncharged = 3 }), retry.Failure{Code: fault.Draining, InstanceChosen: true}, retry.RetryCharged},
		"another backend server answered":     {replayable, retry.Failure{Code: fault.Misdirected, InstanceChosen: true}, retry.RetryUncharged},
		"overloaded instance":                 {replayable, retry.Failure{Code: fault.Overload, InstanceChosen: true}, retry.RetryCharged},
		"second overloaded instance":          {with(func(c *retry.Call) { c.Attempts = 2 }), retry.Failure{Code: fault.Overload, InstanceChosen: true}, retry.GiveUp},
		"rate-limited instance":               {replayable, retry.Failure{Code: fault.RateLimited, InstanceChosen: true}, retry.RetryUncharged},
		"fourth rate-limited instance":        {with(func(c *retry.Call) { c.Uncharged = 3 }), retry.Failure{Code: fault.RateLimited, InstanceChosen: true}, retry.GiveUp},
		"only rate-limited instances left":    {replayable, retry.Failure{Code: fault.RateLimited}, retry.GiveUp},
		"ratio of repeats used up":            {replayable, retry.Failure{Code: fault.RetryBudgetSpent, InstanceChosen: true}, retry.RetryUncharged},
		"ratio used up at two instances":      {with(func(c *retry.Call) { c.Uncharged = 1 }), retry.Failure{Code: fault.RetryBudgetSpent, InstanceChosen: true}, retry.GiveUp},
		"no instance chosen":                  {replayable, retry.Failure{Code: fault.Overload}, retry.GiveUp},
		"deadline exceeded":                   {idempotent, retry.Failure{Code: fault.Deadline, Execution: fault.ExecutionUnknown, InstanceChosen: true}, retry.GiveUp},
		"maximum offers, rejected":            {with(func(c *retry.Call) { c.Offered, c.MaxOffered = 2, 2 }), retry.Failure{Code: fault.Rejected, InstanceChosen: true}, retry.RetryCharged},
		"maximum offers, backend server lost": {with(func(c *retry.Call) { c.Offered, c.MaxOffered, c.Idempotent = 2, 2, true }), retry.Failure{Code: fault.BackendLost, Execution: fault.ExecutionUnknown, InstanceChosen: true}, retry.GiveUp},
		"failure reported in the answer":      {idempotent, retry.Failure{Execution: fault.Executed, InstanceChosen: true}, retry.RetryCharged},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(retry.Decide(x.call, x.f)).To(Equal(x.want))
		})
	}
}

// TestMaybeExecutedCallIsNotRetried checks that a non-idempotent call that may have
// been executed is never retried.
func TestMaybeExecutedCallIsNotRetried(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := retry.Call{
			Replayable: rapid.Bool().Draw(t, "replayable"), Attempts: rapid.IntRange(1, 9).Draw(t, "attempts"),
			Uncharged: rapid.IntRange(0, 4).Draw(t, "free"), Offered: rapid.IntRange(0, 4).Draw(t, "offered"), MaxOffered: rapid.IntRange(0, 4).Draw(t, "most"),
		}
		f := retry.Failure{
			Code: fault.Code(rapid.IntRange(1, int(fault.Rejected)).Draw(t, "code")), InstanceChosen: rapid.Bool().Draw(t, "chosen"),
			Execution: rapid.SampledFrom([]fault.Execution{fault.ExecutionUnknown, fault.Executed}).Draw(t, "run"),
		}
		if retry.Decide(c, f) != retry.GiveUp {
			t.Fatalf("call %+v is retried after %+v", c, f)
		}
	})
}
