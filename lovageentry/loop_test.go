package lovageentry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"lovagestack/lovagemember"
)

type testEvent func(lo *controlLoop)

func (te testEvent) apply(lo *controlLoop) { te(lo) }

// Guards against a loop that is late and takes peers for gone whose heartbeats wait in its queue.
func TestLateLoopJudgesNoPeerByItsOwnLateness(t *testing.T) {
	lo := newTestLoop(t)
	core, logs := observer.New(zap.InfoLevel)
	lo.log = zap.New(core)
	const peers = 30
	heartbeat := func(i int) *memberEvent {
		id := fmt.Sprintf("kandla-%d", 10+i)
		return &memberEvent{lovagemember.HeartbeatReceived{Instance: id, DataCentre: "kandla", Address: fmt.Sprintf("127.0.0.1:%d", 2000+i)}}
	}
	start := time.Now()
	lo.now = start.Add(2*tickInterval - lo.in.settings.Heartbeat.Gone)
	for i := range peers {
		heartbeat(i).apply(lo)
	}
	for ; lo.now.Before(start); lo.now = lo.now.Add(tickInterval) {
		lo.stepMember(lovagemember.Tick{})
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	lo.events <- testEvent(func(*controlLoop) { time.Sleep(4 * tickInterval) })
	for i := range peers {
		lo.events <- heartbeat(i)
	}
	done := make(chan struct{})
	lo.events <- testEvent(func(*controlLoop) { close(done) })
	go func() {
		<-done
		time.Sleep(4 * tickInterval)
		cancel()
	}()
	must.ErrorIs(t, lo.Serve(ctx), context.Canceled)
	for _, entry := range logs.FilterMessage("peer changed state").All() {
		must.NotEq(t, string(lovagemember.Gone), entry.ContextMap()["now"].(string), must.Sprint(entry.ContextMap()))
	}
}
