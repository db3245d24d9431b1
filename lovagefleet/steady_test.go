package lovagefleet

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// maxSteadyGap is the longest time for which the process may stand still during a scenario that is held to bounds on real time. An
	// instance gives up its peers' jobs after a pause of maxPause, and shortens deadlines and leases for a while after shorter ones.
	maxSteadyGap = maxPause / 2
	// maxSteadyTries is how often a scenario is played at most.
	maxSteadyTries = 3
)

// playSteadily plays a scenario that is held to bounds on real time. If the scenario fails and the process stood still for more
// than maxSteadyGap meanwhile, its outcome says nothing about the code, and it is played again. Other failures fail the test at
// once, and so does the last try.
func playSteadily(t *testing.T, play func(t testing.TB)) {
	t.Helper()
	playWithin(t, maxSteadyGap, play)
}

// playWithin implements playSteadily with another limit than maxSteadyGap.
func playWithin(t testing.TB, maxGap time.Duration, play func(t testing.TB)) {
	t.Helper()
	for try := 1; ; try++ {
		tr := &trial{TB: t}
		gap := tr.run(play)
		if len(tr.failures) == 0 {
			return
		}
		if gap <= maxGap || try == maxSteadyTries {
			t.Logf("try %d; the process stood still for at most %s", try, gap)
			for _, text := range tr.failures {
				t.Error(text)
			}
			return
		}
		t.Logf("played again, because the process stood still for %s; failures: %q", gap, tr.failures)
	}
}

// trial is one play of a scenario. It keeps failures to itself.
type trial struct {
	testing.TB
	ctx context.Context

	mu       sync.Mutex
	failures []string
	cleanups []func()
}

// run plays the scenario and its cleanups, and returns the longest time for which the process stood still meanwhile.
func (tr *trial) run(play func(t testing.TB)) (gap time.Duration) {
	ctx, cancel := context.WithCancel(tr.TB.Context())
	tr.ctx = ctx
	played, watched := make(chan struct{}), make(chan time.Duration)
	go func() {
		defer close(played)
		defer func() {
			cancel()
			for _, cleanup := range slices.Backward(tr.cleanups) {
				cleanup()
			}
		}()
		play(tr)
	}()
	go func() {
		longest, last := time.Duration(0), time.Now()
		for done := false; !done; {
			select {
			case <-played:
				done = true
			case <-time.After(10 * time.Millisecond):
			}
			now := time.Now()
			longest, last = max(longest, now.Sub(last)), now
		}
		watched <- longest
	}()
	return <-watched
}

func (tr *trial) Context() context.Context { return tr.ctx }

func (tr *trial) Cleanup(cleanup func()) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.cleanups = append(tr.cleanups, cleanup)
}

func (tr *trial) Errorf(format string, args ...any) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.failures = append(tr.failures, fmt.Sprintf(format, args...))
}

func (tr *trial) Error(args ...any) { tr.Errorf("%s", fmt.Sprint(args...)) }

func (tr *trial) Fail() { tr.Errorf("failed") }

func (tr *trial) FailNow() {
	tr.Fail()
	runtime.Goexit()
}

func (tr *trial) Fatalf(format string, args ...any) {
	tr.Errorf(format, args...)
	runtime.Goexit()
}

func (tr *trial) Fatal(args ...any) { tr.Fatalf("%s", fmt.Sprint(args...)) }

func (tr *trial) Failed() bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return len(tr.failures) > 0
}

func TestPlaySteadily(t *testing.T) {
	for _, ca := range []struct {
		name        string
		maxGap      time.Duration // 0: the process counts as having stood still
		failures    int           // number of tries that fail
		tries       int
		wantFailure bool
	}{
		{"passes", time.Hour, 0, 1, false},
		{"fails", time.Hour, 1, 1, true},
		{"fails once beside a pause", 0, 1, 2, false},
		{"fails always beside pauses", 0, maxSteadyTries, maxSteadyTries, true},
	} {
		t.Run(ca.name, func(t *testing.T) {
			outer := &trial{TB: t, ctx: t.Context()}
			tries, cleanups := 0, 0
			playWithin(outer, ca.maxGap, func(t testing.TB) {
				tries++
				t.Cleanup(func() { cleanups++ })
				if tries <= ca.failures {
					must.Unreachable(t)
					panic("went on after a failure")
				}
			})
			must.Eq(t, ca.tries, tries)
			must.Eq(t, tries, cleanups)
			must.Eq(t, ca.wantFailure, outer.Failed())
		})
	}
}
