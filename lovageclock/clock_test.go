package lovageclock

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestBootAdvances(t *testing.T) {
	before := Boot()
	time.Sleep(10 * time.Millisecond)
	must.GreaterEq(t, 10*time.Millisecond, Boot()-before)
}

func TestPauseDetector(t *testing.T) {
	now := time.Hour
	pd := NewPauseDetector(func() time.Duration { return now }, 800*time.Millisecond)
	must.Eq(t, 0, pd.Check())
	now += 800 * time.Millisecond
	must.Eq(t, 0, pd.Check())
	must.False(t, pd.PausedWithin(time.Second))
	now += 801 * time.Millisecond
	must.True(t, pd.PausedWithin(0)) // notices the pause itself
	must.Eq(t, 1, pd.Check())
	must.Eq(t, 801*time.Millisecond, pd.LastPause())
	now += 200 * time.Millisecond
	must.True(t, pd.PausedWithin(200*time.Millisecond))
	must.False(t, pd.PausedWithin(199*time.Millisecond))
}
