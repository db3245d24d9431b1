package lovagefleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"lovagestack/lovagejob"
	"lovagestack/lovagepool"
)

// Guards against starts on workers of a queue's former service once all instances have the new configuration: of jobs that wait, that are on
// their way between instances, that are offloaded or that have begun.
func TestServiceChangesUnderLoad(t *testing.T) {
	de := deployWith(t, &deployment{workers: 6})
	fc := de.cluster
	fc.mu.Lock()
	for _, id := range []string{"east-w0", "east-w1", "west-w0", "west-w1", "west-w2", "west-w3"} {
		fc.workers[id].Service = "s2"
	}
	former := fc.config
	fc.mu.Unlock()
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	var mu sync.Mutex
	outcomes := map[lovagepool.Outcome]int{}
	for _, tn := range de.nodes {
		wg.Go(func() {
			for ctx.Err() == nil {
				wg.Go(func() {
					work := testWork(randomID(), 1+rand.IntN(3), 60*time.Millisecond)
					work.ConfigVersion = tn.configVersion()
					work.Service = tn.Configuration().Routes[0].Service
					work.Steps = append(work.Steps, lovagejob.Step{
						Count: 1, Resources: taskResources, RunTime: 60 * time.Millisecond, DependsOn: []int{0},
					})
					an := tn.Submit(context.Background(), work)
					mu.Lock()
					defer mu.Unlock()
					outcomes[an.Outcome]++
				})
				sleep(ctx, 20*time.Millisecond)
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	next := *former
	next.Version, next.Routes = 2, []Route{former.Routes[0]}
	next.Routes[0].Service = "s2"
	fc.mu.Lock()
	fc.config = &next
	fc.mu.Unlock()
	for _, tn := range de.nodes {
		de.await("the configuration is in force", 5*time.Second, func() bool { return tn.configVersion() == 2 })
		done := make(chan struct{})
		tn.post(func(time.Time) { close(done) })
		<-done
	}
	time.Sleep(50 * time.Millisecond) // starts that were decided before have arrived
	inForce := time.Now()
	time.Sleep(500 * time.Millisecond)
	cancel()
	wg.Wait()
	fc.mu.Lock()
	defer fc.mu.Unlock()
	startsBefore := 0
	for id, wo := range fc.workers {
		switch {
		case wo.Service == "s":
			must.True(t, wo.lastStartAt.Before(inForce), must.Sprintf("%s started a task %s after the change", id, wo.lastStartAt.Sub(inForce)))
			if !wo.lastStartAt.IsZero() {
				startsBefore++
			}
		case wo.DataCentre == "west":
			must.True(t, wo.lastStartAt.After(inForce), must.Sprint(id))
		}
	}
	t.Logf("outcomes: %v", outcomes)
	must.Positive(t, startsBefore)
	must.Positive(t, outcomes[lovagepool.Completed])
}
