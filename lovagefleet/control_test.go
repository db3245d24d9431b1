package lovagefleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

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
