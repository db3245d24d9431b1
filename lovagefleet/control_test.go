package lovagefleet

import (
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"lovagestack/lovageclock"
	"lovagestack/lovagemetric"
	"lovagestack/lovagepool"
)

func TestLateInstanceKeepsNoJobPastItsCallersDeadline(t *testing.T) {
	de := deploy(t)
	owner := de.owner("east")
	de.awaitWorkers(owner, 3)
	lag := 400 * time.Millisecond
	de.nodes[owner].latenesses.note(time.Now(), lag)
	wo := testWork(randomID(), 1, 3*time.Second)
	wo.SlackFactor, wo.Deadline = 10, time.Now().Add(time.Second)
	an := de.nodes[owner].Submit(t.Context(), wo)
	must.Eq(t, lovagepool.Unknown, an.Outcome)
	must.Less(t, time.Second-lag+100*time.Millisecond, time.Since(wo.Arrived))
}

func TestLateEventsAreReported(t *testing.T) {
	core, logs := observer.New(zap.WarnLevel)
	no := New(Settings{ID: "east-1", DataCentre: "east", PeerListen: "127.0.0.1:0", Pool: lovagepool.DefaultSettings()},
		Dependencies{Metrics: lovagemetric.New(), Logger: testLogger{zap.New(core)}})
	no.ctx = t.Context()
	done := make(chan struct{})
	no.post(func(time.Time) { time.Sleep(lateEvent + 20*time.Millisecond) })
	go no.loop(t.Context())
	for len(no.eventQueue) > 0 {
		time.Sleep(time.Millisecond)
	}
	no.post(func(time.Time) { close(done) })
	<-done
	lines := logs.FilterMessage("this instance is late").All()
	must.Len(t, 1, lines)
	must.GreaterEq(t, lateEvent, lines[0].ContextMap()["waitedMs"].(time.Duration))
}

// startLoop returns a node of which only loop runs.
func startLoop(t *testing.T) *Node {
	no := New(Settings{ID: "east-1", DataCentre: "east", PeerListen: "127.0.0.1:0", Pool: lovagepool.DefaultSettings()},
		Dependencies{Metrics: lovagemetric.New(), Logger: testLogger{zap.NewNop()}})
	no.ctx = t.Context()
	done := make(chan struct{})
	go func() {
		defer close(done)
		no.loop(no.ctx)
	}()
	t.Cleanup(func() { <-done })
	time.Sleep(3 * idleTickInterval)
	return no
}

// Guards against confirmations and leases that are granted after a stall before the next tick notices it.
func TestStallCountsForEventsBeforeTheNextTick(t *testing.T) {
	no := startLoop(t)
	stall := 600 * time.Millisecond
	late := make(chan time.Duration, 1)
	no.post(func(time.Time) {
		time.Sleep(stall) // stands for a freeze of the process
		no.post(func(time.Time) { late <- lovageclock.Boot() - no.callersSeenAt() })
	})
	must.GreaterEq(t, stall-idleTickInterval, <-late)
}

// Guards against times that are too early for heldUntil, stopAckedAt and sendRenewals, since loop handles many events with one time.
func TestEventIsHandledWithItsOwnTime(t *testing.T) {
	no := startLoop(t)
	age := make(chan time.Duration, 1)
	no.post(func(time.Time) {
		time.Sleep(300 * time.Millisecond)
		no.post(func(now time.Time) { age <- time.Since(now) })
	})
	must.LessEq(t, minLag, <-age)
}

// Guards against leases and confirmations after a suspension of the machine, which the clock of the ticks leaves out.
func TestSuspensionCountsAsLateness(t *testing.T) {
	no := startLoop(t)
	suspended := 600 * time.Millisecond
	no.post(func(time.Time) { no.bootAhead -= suspended })
	late := make(chan time.Duration, 1)
	time.Sleep(20 * time.Millisecond)
	no.post(func(time.Time) { late <- lovageclock.Boot() - no.callersSeenAt() })
	must.GreaterEq(t, suspended-time.Millisecond, <-late)
}

// Guards against leases that are too long because the loop ticks in time while connections are read late.
func TestBusyProcessorsCountAsLateness(t *testing.T) {
	no := startLoop(t)
	t.Cleanup(func(procs int) func() { return func() { runtime.GOMAXPROCS(procs) } }(runtime.GOMAXPROCS(1)))
	var stop atomic.Bool
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			for !stop.Load() { // for 10 ms at a time
			}
		})
	}
	time.Sleep(time.Second)
	looks, late := 0, 0
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		looks++
		if no.lateness(time.Now()) >= minLag {
			late++
		}
	}
	stop.Store(true)
	wg.Wait()
	must.Greater(t, 0.8, float64(late)/float64(looks))
}
