package lovagedispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a declared configuration that turns lending on for a policy that compares without it, or that sets a
// limit to nothing because a field was left out.
func TestTunablesChanged(t *testing.T) {
	for _, it := range []struct {
		start, off, on Policy
	}{
		{Lending, Shares, Lending},
		{Shares, Shares, Shares},
		{Random, Random, Random},
	} {
		se := DefaultSettings("a", "kandla")
		se.Policy = it.start
		co := New(se, rand.New(rand.NewPCG(1, 1)))
		now := time.Unix(1000, 0)
		co.Step(now, TunablesChanged{LoanTerm: time.Second}, nil)
		must.Eq(t, it.off, co.se.Policy)
		must.Eq(t, time.Second, co.se.LoanTerm)
		must.Eq(t, se.MaxQueuedTasks, co.se.MaxQueuedTasks)
		co.Step(now, TunablesChanged{Lend: true}, nil)
		must.Eq(t, it.on, co.se.Policy)
	}
}
