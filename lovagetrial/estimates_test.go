package lovagetrial

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"lovagestack/lovagedispatch"
	"lovagestack/lovagefake"
)

// workerState returns the state of a worker at an instance, or "" if the instance does not use the worker.
func workerState(ctx context.Context, t *testing.T, it *Instance, id string) string {
	t.Helper()
	list, err := it.Entry.Workers(ctx)
	must.NoError(t, err)
	i := slices.IndexFunc(list, func(ws lovagedispatch.WorkerStatus) bool { return ws.Worker == id })
	if i < 0 {
		return ""
	}
	return list[i].State
}

// Checks that a new deciding instance knows that the former one has ejected a worker.
func TestEjectionSurvivesTheDecidingInstance(t *testing.T) {
	equalSpeeds := []float64{1, 1, 1, 1, 1}
	de, err := New(Options{DataCentres: []DataCentre{
		{Name: "kandla", Instances: 2, WorkerSpeeds: equalSpeeds}, {Name: "navlakhi", Instances: 1, WorkerSpeeds: equalSpeeds},
	}})
	must.NoError(t, err)
	defer de.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	failingWorker := de.Workers()[0]
	failingWorker.SetFaults(lovagefake.WorkerFaults{FailEverything: true})
	ca := de.NewCaller()
	var deciding *Instance
	for deciding == nil {
		// With more tasks than slots, the failing worker gets tasks even while it is suspect, until it is ejected.
		keys, err := ca.Mint(ctx, de.Instance("kandla-1"), 160, true)
		must.NoError(t, err)
		ended := make(chan struct{})
		for _, key := range keys {
			go func() {
				_, _ = ca.Submit(ctx, de.Instance("kandla-1"),
					NewJob(key, true, 1, 20*time.Millisecond, time.Now().Add(10*time.Second)))
				ended <- struct{}{}
			}()
		}
		for range keys {
			<-ended
		}
		for _, it := range de.Instances() {
			if state := workerState(ctx, t, it, failingWorker.ID); state == "ejected" || state == "probing" {
				deciding = it
			}
		}
		must.NoError(t, ctx.Err())
	}
	_, err = deciding.ShutDown()
	must.NoError(t, err)
	for ejectionKnown := false; !ejectionKnown; {
		for _, it := range de.Running() {
			state := workerState(ctx, t, it, failingWorker.ID)
			ejectionKnown = ejectionKnown || state == "ejected" || state == "probing"
		}
		must.NoError(t, pauseFor(ctx, pollInterval))
	}
	must.Len(t, 0, Check(de.Evidence()))
}
