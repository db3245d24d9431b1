package lovagedispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestTunablesChanged checks that a field that is set in the event is applied, and that a missing field leaves the
// setting as it is.
func TestTunablesChanged(t *testing.T) {
	se := DefaultSettings("a", "kandla")
	co := New(se, rand.New(rand.NewPCG(1, 1)))
	co.Step(time.Unix(1000, 0), TunablesChanged{EjectionBackOff: 3 * time.Second}, nil)
	must.Eq(t, 3*time.Second, co.settings.EjectionBackOff)
	must.Eq(t, se.MaxEjectionBackOff, co.settings.MaxEjectionBackOff)
	must.Eq(t, se.MaxQueuedTasks, co.settings.MaxQueuedTasks)
}
