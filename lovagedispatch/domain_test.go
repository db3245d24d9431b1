package lovagedispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"lovagestack/lovagejob"
)

// domainWorkers returns one worker of 2 slots per name, in the pool and the domain.
func domainWorkers(pool, domain string, names ...string) []Worker {
	out := make([]Worker, len(names))
	for i, id := range names {
		out[i] = Worker{ID: id, DataCentre: "kandla", Pool: pool, Slots: 2, Domain: domain}
	}
	return out
}

func newCentralDriver() *driver {
	se := DefaultSettings("e1", "kandla")
	se.Policy = Central
	dr := newDriver(se)
	dr.step(ServicesChanged{Services: []Service{{Name: "s", Pools: []string{"p", "q"}}}})
	return dr
}

// TestQueuedJobsSurviveWorkerReplacement checks that queued jobs start on workers of another domain when those replace
// the workers in the set. Tasks on a removed worker must still count for their jobs, and for the worker's slots if the
// worker comes back.
func TestQueuedJobsSurviveWorkerReplacement(t *testing.T) {
	dr := newCentralDriver()
	dr.step(WorkersChanged{Workers: domainWorkers("p", "d0", "w0")})
	first := dr.submit("s", "a", 4, time.Minute)
	must.Len(t, 2, dr.inFlight)
	dr.step(WorkersChanged{Workers: domainWorkers("q", "d1", "w1")})
	must.Len(t, 4, dr.inFlight, must.Sprint("the queued tasks go to the new worker"))
	must.Eq(t, "w1", dr.inFlight[3].start.Worker)
	second := dr.submit("s", "a", 2, time.Minute)
	must.Len(t, 4, dr.inFlight)
	// The first worker comes back while its two tasks run, so it has no free slot.
	dr.step(WorkersChanged{Workers: append(domainWorkers("p", "d0", "w0"), domainWorkers("q", "d1", "w1")...)})
	must.Len(t, 4, dr.inFlight)
	slots, free := dr.core.DomainSlots("d0")
	must.Eq(t, [2]int{2, 0}, [2]int{slots, free})
	dr.step(WorkersChanged{Workers: domainWorkers("q", "d1", "w1")})
	dr.endTask(0, Succeeded)
	dr.endTask(0, Succeeded)
	must.MapNotContainsKey(t, dr.core.workers, "w0", must.Sprint("nothing of the worker is left"))
	must.Len(t, 2, dr.inFlight, must.Sprint("no slot of the other domain became free"))
	fi, _ := finished(append(dr.endTask(0, Succeeded), dr.endTask(0, Succeeded)...))
	must.Eq(t, FinishJob{Job: first, Outcome: lovagejob.Complete, Started: 4}, fi)
	fi, _ = finished(append(dr.endTask(0, Succeeded), dr.endTask(0, Succeeded)...))
	must.Eq(t, FinishJob{Job: second, Outcome: lovagejob.Complete, Started: 2}, fi)
	must.MapEmpty(t, dr.core.jobs)
	dr.requireNoViolations(t)
}

// TestQueuedJobsSurviveLossOfAllWorkers checks that a queued job is kept while the instance has no worker for it, and
// starts when there is one again.
func TestQueuedJobsSurviveLossOfAllWorkers(t *testing.T) {
	dr := newCentralDriver()
	dr.step(WorkersChanged{Workers: domainWorkers("p", "d0", "w0")})
	running := dr.submit("s", "a", 2, time.Minute)
	late := dr.submit("s", "a", 1, time.Second)
	queued := dr.submit("s", "a", 1, time.Minute)
	dr.step(WorkersChanged{})
	dr.endTask(0, Unknown)
	must.True(t, dr.core.jobs[running].ended, must.Sprint("the end of a task counts although its worker was removed"))
	dr.advance(2 * time.Second)
	must.MapNotContainsKey(t, dr.core.jobs, late, must.Sprint("the job expires without workers"))
	must.MapContainsKey(t, dr.core.jobs, queued)
	dr.step(WorkersChanged{Workers: domainWorkers("q", "d1", "w1")})
	must.Len(t, 2, dr.inFlight)
	must.Eq(t, StartTask{Job: queued, Task: 0, Worker: "w1"}, dr.inFlight[1].start)
	dr.requireNoViolations(t)
}
