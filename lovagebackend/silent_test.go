package lovagebackend_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"lovagestack/lovagebackend"
	"lovagestack/lovagefake"
)

// A task on a silent connection must not wait for its deadline or be sent again. Later tasks must not use connections
// that became silent at the same time.
func TestSilentConnections(t *testing.T) {
	wo, addr := startWorker(t, lovagefake.WorkerSettings{ID: "w", Slots: 16})
	re, err := lovagefake.NewRelay(addr)
	must.NoError(t, err)
	defer re.Close()
	var silent, idleClosed counter
	cl := newClient(t, lovagebackend.Settings{
		SuspectAfter: 50 * time.Millisecond, SilentAfter: 200 * time.Millisecond, SilentFactor: 2, SilentReplies: 3,
		Counters: lovagebackend.Counters{SilentConnections: &silent, IdleConnectionsClosed: &idleClosed},
	})
	// Three connections become silent: one carries a task, two are idle.
	ctx, cancel := context.WithCancel(context.Background())
	var warmRuns sync.WaitGroup
	for i := range 3 {
		warmRuns.Go(func() { cl.Run(ctx, taskRequest(re.Address(), fmt.Sprintf("warm-%d", i), `{"runTime":"20ms"}`)) })
	}
	warmRuns.Wait()
	cancel()
	lostResult := make(chan lovagebackend.Result, 1)
	go func() {
		lostResult <- cl.Run(context.Background(), taskRequest(re.Address(), "lost", `{"runTime":"100ms"}`))
	}()
	eventually(t, "task runs", func() bool { return wo.RunningTasks() == 1 })
	re.Silence()
	eventually(t, "idle connections are closed", func() bool { return idleClosed.Load() >= 1 })
	for i := 0; silent.Load() == 0; i++ {
		res := cl.Run(context.Background(), taskRequest(re.Address(), fmt.Sprintf("later-%d", i), zeroRunTime))
		must.Eq(t, lovagebackend.Succeeded, res.State, must.Sprint(res.Err))
		time.Sleep(10 * time.Millisecond)
	}
	res := <-lostResult
	must.Eq(t, lovagebackend.Unknown, res.State)
	must.ErrorIs(t, res.Err, lovagebackend.ErrSilent)
	must.Eq(t, 1, wo.StartCounts()["lost"])
	must.MapEmpty(t, lovagefake.DuplicateStarts(wo))
}

// A task must not be abandoned only because it is old: a worker that answers no request, or a service that is always
// slow, does not imply a silent connection.
func TestSlowTaskIsNotSilent(t *testing.T) {
	wo, addr := startWorker(t, lovagefake.WorkerSettings{ID: "w", Slots: 16})
	var silent counter
	cl := newClient(t, lovagebackend.Settings{
		SuspectAfter: time.Millisecond, SilentAfter: time.Millisecond, SilentFactor: 100, SilentReplies: 1,
		Counters: lovagebackend.Counters{SilentConnections: &silent},
	})
	var running sync.WaitGroup
	for i := range 8 {
		tasks, payload := 4, `{"runTime":"40ms"}`
		if i == 0 {
			tasks, payload = 1, `{"runTime":"700ms"}` // lasts for several inspection intervals
		}
		running.Go(func() {
			for n := range tasks {
				res := cl.Run(context.Background(), taskRequest(addr, fmt.Sprintf("k-%d/%d", i, n), payload))
				if res.State != lovagebackend.Succeeded {
					t.Errorf("task %d of caller %d: %s, %v", n, i, res.State, res.Err)
				}
			}
		})
	}
	running.Wait()
	wo.SetFaults(lovagefake.WorkerFaults{Pause: true})
	for i := range 3 {
		running.Go(func() { cl.Run(context.Background(), taskRequest(addr, fmt.Sprintf("paused-%d", i), zeroRunTime)) })
	}
	time.Sleep(600 * time.Millisecond) // several inspection intervals
	wo.SetFaults(lovagefake.WorkerFaults{})
	running.Wait()
	must.Zero(t, silent.Load())
	must.MapEmpty(t, lovagefake.DuplicateStarts(wo))
}
