package lovagebackend_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"lovagestack/lovagebackend"
	"lovagestack/lovagefake"
)

const zeroRunTime = `{"runTime":"0s"}`

// checkStarts fails if the result contradicts the number of starts.
func checkStarts(t *testing.T, res lovagebackend.Result, starts int) {
	t.Helper()
	switch res.State {
	case lovagebackend.NotStarted:
		must.Eq(t, 0, starts, must.Sprint("reported as not started"))
	case lovagebackend.Succeeded, lovagebackend.Failed:
		must.Eq(t, 1, starts)
	default:
		must.Less(t, 2, starts, must.Sprint("started twice"))
	}
}

// Checks that a task starts at most once, and not at all if its result is NotStarted, when the worker closes a reused
// connection at any byte of the request.
func TestReusedConnectionClosedAtEveryByte(t *testing.T) {
	wo, addr := startWorker(t, lovagefake.WorkerSettings{ID: "w"})
	states := map[lovagebackend.State]int{}
	var replays counter
	cl := newClient(t, lovagebackend.Settings{Counters: lovagebackend.Counters{ReplaysPrevented: &replays}})
	const maxOffset = 340 // longer than the request, so that the last iterations succeed
	for offset := 1; offset <= maxOffset; offset++ {
		must.Eq(t, lovagebackend.Succeeded, cl.Run(context.Background(), taskRequest(addr, fmt.Sprintf("first-%d", offset), zeroRunTime)).State)
		wo.SetFaults(lovagefake.WorkerFaults{CloseReusedAtByte: offset})
		id := fmt.Sprintf("second-%d", offset)
		res := cl.Run(context.Background(), taskRequest(addr, id, zeroRunTime))
		wo.SetFaults(lovagefake.WorkerFaults{})
		states[res.State]++
		checkStarts(t, res, wo.StartCounts()[id])
	}
	must.Positive(t, states[lovagebackend.Unknown])
	must.Positive(t, states[lovagebackend.Succeeded])
	must.MapEmpty(t, lovagefake.DuplicateStarts(wo))
	t.Logf("states %v, replays prevented %d", states, replays.Load())
}

// Checks that the test worker's fault CloseReusedAtByte makes a plain client retry a request that carries an
// Idempotency-Key.
func TestPlainClientRetries(t *testing.T) {
	wo, addr := startWorker(t, lovagefake.WorkerSettings{ID: "w"})
	tr := &http.Transport{}
	defer tr.CloseIdleConnections()
	send := func() (int, error) {
		req, err := http.NewRequest(http.MethodPost, "http://"+addr+lovagebackend.TaskPath("ticket"), strings.NewReader(zeroRunTime))
		must.NoError(t, err)
		req.Header.Set("Idempotency-Key", "k")
		resp, err := tr.RoundTrip(req)
		if err != nil {
			return 0, err
		}
		defer func() { _ = resp.Body.Close() }()
		_, err = io.Copy(io.Discard, resp.Body)
		return resp.StatusCode, err
	}
	for range 2 {
		status, err := send()
		must.NoError(t, err)
		must.Eq(t, 200, status)
		wo.SetFaults(lovagefake.WorkerFaults{CloseReusedAtByte: 60})
	}
	must.Eq(t, 2, wo.Counters().Connections)
}

// Checks that no task starts twice or gets a wrong state if many tasks run at once, the worker closes connections at
// varying bytes and tasks are cancelled at varying times.
func TestManyTasksOnClosingConnections(t *testing.T) {
	wo, addr := startWorker(t, lovagefake.WorkerSettings{ID: "w", Slots: 4})
	cl := newClient(t, lovagebackend.Settings{MaxConns: 6})
	results := make([]lovagebackend.Result, 1500)
	var callers sync.WaitGroup
	for caller := range 6 {
		callers.Go(func() {
			rng := rand.New(rand.NewPCG(1, uint64(caller)))
			for i := caller; i < len(results); i += 6 {
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				switch rng.IntN(8) {
				case 0:
					wo.SetFaults(lovagefake.WorkerFaults{CloseReusedAtByte: 1 + rng.IntN(400)})
				case 1:
					wo.SetFaults(lovagefake.WorkerFaults{CloseAfterRead: true})
				case 2:
					time.AfterFunc(time.Duration(rng.IntN(500))*time.Microsecond, cancel)
				case 3:
					cancel()
				default:
					wo.SetFaults(lovagefake.WorkerFaults{})
				}
				results[i] = cl.Run(ctx, taskRequest(addr, fmt.Sprint(i), `{"runTime":"200us"}`))
				cancel()
			}
		})
	}
	callers.Wait()
	eventually(t, "worker is idle", func() bool { return wo.RunningTasks() == 0 })
	starts := wo.StartCounts()
	states := map[lovagebackend.State]int{}
	for i, res := range results {
		states[res.State]++
		checkStarts(t, res, starts[fmt.Sprint(i)])
	}
	for _, state := range []lovagebackend.State{lovagebackend.Succeeded, lovagebackend.NotStarted, lovagebackend.Unknown} {
		must.Positive(t, states[state], must.Sprint(state))
	}
	t.Logf("states %v, worker %+v", states, wo.Counters())
}

// A task must not be written to a connection that the worker has already closed, because its job would fail.
func TestStaleConnectionIsNotUsed(t *testing.T) {
	var stale, connections counter
	cl := newClient(t, lovagebackend.Settings{Counters: lovagebackend.Counters{StaleConnections: &stale, ConnectionsOpened: &connections}})
	wo, addr := startWorker(t, lovagefake.WorkerSettings{ID: "w"})
	re, err := lovagefake.NewRelay(addr)
	must.NoError(t, err)
	defer re.Close()
	const tasks = 100
	for i := range tasks {
		res := cl.Run(context.Background(), taskRequest(re.Address(), fmt.Sprint(i), zeroRunTime))
		must.Eq(t, lovagebackend.Succeeded, res.State, must.Sprint(res.Err))
		re.CloseConnections()
	}
	must.Eq(t, tasks, len(wo.StartCounts()))
	must.MapEmpty(t, lovagefake.DuplicateStarts(wo))
	t.Logf("%d connections, %d found closed just before the write", connections.Load(), stale.Load())
}
