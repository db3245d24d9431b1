package lovagedispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"lovagestack/lovagejob"
)

var epoch = time.Unix(1_800_000_000, 0)

// newPoolDriver returns a driver of a core with one pool of n workers in its data centre, and with the services "s",
// "t" and "u". No worker runs "u".
func newPoolDriver(n, slots int, change func(*Settings)) *driver {
	se := DefaultSettings("e1", "kandla")
	if change != nil {
		change(&se)
	}
	dr := newDriver(se)
	workers := make([]Worker, n)
	for i := range workers {
		workers[i] = Worker{ID: fmt.Sprintf("w%d", i), DataCentre: "kandla", Pool: "p", Slots: slots, Cores: 32, MemoryBytes: 64 << 30}
	}
	dr.step(WorkersChanged{Workers: workers})
	dr.step(ServicesChanged{Services: []Service{
		{Name: "s"}, {Name: "t"}, {Name: "u", Pools: []string{"none"}},
	}})
	return dr
}

func finished(out []Command) (fi FinishJob, ok bool) {
	for _, cm := range out {
		if fi, ok = cm.(FinishJob); ok {
			return fi, true
		}
	}
	return fi, false
}

func (dr *driver) requireNoViolations(t *testing.T) {
	t.Helper()
	must.SliceEmpty(t, dr.checker.violations)
}

// TestAdmission checks that each refusal has the right reason, that it has a retry time only if a retry is of use, and
// that the core keeps no record of the refused job.
func TestAdmission(t *testing.T) {
	ok := Submit{Job: 1 << 40, Service: "s", Team: "a", Deadline: epoch.Add(10 * time.Second), Tasks: 2}
	for _, tt := range []struct {
		name   string
		change func(*Submit)
		reason string // empty if admitted
		retry  bool
	}{
		{"admitted", func(*Submit) {}, "", false},
		{"no tasks", func(su *Submit) { su.Tasks = 0 }, "a job of 0 tasks cannot run", false},
		{"service", func(su *Submit) { su.Service = "x" }, `service "x" does not exist`, false},
		{"no workers", func(su *Submit) { su.Service = "u" }, `service "u" has no workers`, true},
		{"cores", func(su *Submit) { su.DeclaredCores = 33 }, `a task declares 33 cores, the largest worker of service "s" has 32`, false},
		{"memory", func(su *Submit) { su.DeclaredMemoryBytes = 1 << 40 }, "a task declares 1099511627776 bytes of memory", false},
		{"accelerators", func(su *Submit) { su.DeclaredAccelerators = 1 }, "a task declares 1 accelerators", false},
		{"deadline passed", func(su *Submit) { su.Deadline = epoch }, "the deadline has passed", false},
		{"deadline short", func(su *Submit) { su.Deadline = epoch.Add(600 * time.Millisecond) }, "the deadline in 0.600 s cannot be met", true},
		{"service limit", func(su *Submit) { su.Tasks = 981 }, `service "s" has 20 queued tasks, 981 more would exceed the limit of 1000`, true},
		{"over any limit", func(su *Submit) { su.Tasks = 1001 }, "would exceed the limit of 1000", false},
		{"team limit", func(su *Submit) { su.Team = "small" }, `team "small" has 0 queued tasks, 2 more would exceed the limit of 1`, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			dr := newPoolDriver(2, 2, func(se *Settings) { se.MaxQueuedTasks = 1000 })
			dr.step(TeamsChanged{Teams: []Team{{Name: "small", MaxQueuedTasks: 1}}})
			sv := dr.core.services["s"]
			sv.meanRunTime, sv.sampleCount = 0.5, trustedSamples // learned: 0.5 s, so 24 tasks on 4 slots take 3 s
			dr.submit("s", "a", 24, time.Minute)
			must.Eq(t, 20, dr.core.queuedTasks)
			su := ok
			tt.change(&su)
			fi, refused := finished(dr.step(su))
			must.Eq(t, tt.reason != "", refused, must.Sprintf("%+v", fi))
			if refused {
				must.Eq(t, lovagejob.NotRun, fi.Outcome)
				must.True(t, strings.HasPrefix(fi.Reason, tt.reason) || strings.HasSuffix(fi.Reason, tt.reason), must.Sprint(fi.Reason))
				must.Eq(t, tt.retry, fi.RetryAt.After(epoch))
				must.MapNotContainsKey(t, dr.core.jobs, su.Job)
			}
			dr.requireNoViolations(t)
		})
	}
}

// TestAdmissionWithWrongEstimate checks that a wrong estimate does not make the core refuse every job, which would keep
// it from learning the true run time.
func TestAdmissionWithWrongEstimate(t *testing.T) {
	dr := newPoolDriver(1, 1, nil)
	dr.step(Submit{Job: 99, Service: "s", Team: "a", Tasks: 1, Deadline: epoch.Add(time.Second), DeclaredRunTime: time.Hour})
	must.Len(t, 1, dr.inFlight, must.Sprint("a declared run time that is far off must not refuse the job"))
	dr.core.services["s"].meanRunTime, dr.core.services["s"].sampleCount = 100, 100
	dr.endTask(0, Succeeded)
	dr.submit("s", "a", 1, time.Second)
	must.Len(t, 1, dr.inFlight, must.Sprint("a job is admitted if nothing of the service runs"))
	dr.requireNoViolations(t)
}

// TestDrain checks that a draining core completes the accepted jobs and refuses new ones.
func TestDrain(t *testing.T) {
	dr := newPoolDriver(1, 1, nil)
	dr.submit("s", "a", 2, time.Minute)
	fi, _ := finished(dr.step(Drain{}))
	must.Eq(t, FinishJob{}, fi)
	fi, _ = finished(dr.step(Submit{Job: 99, Service: "s", Team: "a", Tasks: 1, Deadline: epoch.Add(time.Minute)}))
	must.Eq(t, lovagejob.NotRun, fi.Outcome)
	dr.endTask(0, Succeeded)
	fi, _ = finished(dr.endTask(0, Succeeded))
	must.Eq(t, FinishJob{Job: 1, Outcome: lovagejob.Complete, Started: 2}, fi)
	dr.requireNoViolations(t)
}

// TestJobEndsEarly checks that the outcome of an expired, cancelled or failed job says whether the job may have run,
// and that the job's queued tasks are dropped. A running task must keep its slot until its end, and the reason must
// name a failed task.
func TestJobEndsEarly(t *testing.T) {
	dr := newPoolDriver(1, 1, nil)
	first := dr.submit("s", "a", 3, time.Second)
	dr.submit("s", "a", 4, time.Second)
	third := dr.submit("s", "a", 5, time.Minute)
	out := dr.step(Cancel{Job: third})
	fi, _ := finished(out)
	must.Eq(t, FinishJob{Job: third, Outcome: lovagejob.NotRun, Reason: "cancelled by the caller"}, fi)
	dr.advance(2 * time.Second)
	must.Eq(t, 3, dr.checker.finishedJobs)
	must.Eq(t, 0, dr.core.queuedTasks)
	must.True(t, dr.core.jobs[first].ended, must.Sprint("kept until its running task has ended"))
	dr.endTask(0, Succeeded)
	must.MapEmpty(t, dr.core.jobs)
	fourth := dr.submit("s", "a", 2, time.Minute)
	out = dr.step(Cancel{Job: fourth})
	must.Eq(t, Command(StopTask{Job: fourth, Task: 0, Worker: "w0"}), out[0])
	fi, _ = finished(out)
	must.Eq(t, lovagejob.Cancelled, fi.Outcome)
	fifth := dr.submit("s", "a", 300, time.Minute)
	must.Len(t, 1, dr.inFlight, must.Sprint("the slot of the stopped task is still in use"))
	dr.endTask(0, Unknown)
	must.Len(t, 1, dr.inFlight, must.Sprint("the late end has freed the slot"))
	fi, _ = finished(dr.endTask(0, Failed))
	must.Eq(t, FinishJob{Job: fifth, Outcome: lovagejob.Failed, Reason: "task 0 failed on worker w0: test", Started: 1}, fi)
	must.Eq(t, 0, dr.core.queuedTasks)
	dr.requireNoViolations(t)
}

// TestRetryBudget checks that a refused task is retried on another worker, but not beyond the retry budget. A job of
// which another task has started must be retried beyond the budget instead of being ended.
func TestRetryBudget(t *testing.T) {
	dr := newPoolDriver(2, 1, func(se *Settings) { se.Policy, se.RetryBurst = Alone, 3 })
	id := dr.submit("s", "a", 1, time.Minute)
	before := ""
	for range 3 {
		worker := dr.inFlight[0].start.Worker
		must.NotEq(t, before, worker)
		before = worker
		_, ended := finished(dr.endTask(0, NotStarted))
		must.False(t, ended)
		dr.advance(100 * time.Millisecond)
	}
	fi, _ := finished(dr.endTask(0, NotStarted))
	must.Eq(t, lovagejob.NotRun, fi.Outcome)
	must.Eq(t, id, fi.Job)
	must.StrContains(t, fi.Reason, `the retry budget of service "s" is used up: test`)
	must.True(t, fi.RetryAt.After(dr.now))
	dr.advance(time.Second)
	dr.submit("s", "a", 2, time.Minute)
	for range 20 {
		must.Len(t, 2, dr.inFlight, must.Sprint("a job that has started is retried beyond the budget"))
		dr.endTask(1, NotStarted)
		dr.advance(2 * time.Second)
	}
	dr.requireNoViolations(t)
}

// TestLeavingWorker checks that no task starts on a worker that has reported that it is leaving, even if a stale list
// of workers does not say so. The task that the worker refused must start on another worker.
func TestLeavingWorker(t *testing.T) {
	dr := newPoolDriver(2, 2, nil)
	dr.submit("s", "a", 4, time.Minute)
	st := dr.inFlight[0].start
	dr.inFlight = dr.inFlight[1:]
	dr.step(TaskEnded{Job: st.Job, Task: st.Task, Worker: st.Worker, State: NotStarted, Leaving: true})
	must.Len(t, 3, dr.inFlight, must.Sprint("nothing starts on the leaving worker"))
	dr.step(WorkersChanged{Workers: []Worker{dr.core.workerList[0].spec, dr.core.workerList[1].spec}}) // a stale list
	must.Len(t, 3, dr.inFlight)
	for len(dr.inFlight) > 0 {
		dr.endTask(0, Succeeded)
	}
	must.Eq(t, 1, dr.checker.finishedJobs)
	dr.requireNoViolations(t)
}

// TestValidateSettings checks that each invalid setting yields a finding that names the field.
func TestValidateSettings(t *testing.T) {
	must.SliceEmpty(t, DefaultSettings("e1", "kandla").Validate())
	se := DefaultSettings("E 1", "kandla")
	se.Policy, se.DefaultRunTime, se.MaxEjectionBackOff, se.Ageing = "best", 0, time.Millisecond, -1
	var fields []string
	for _, fi := range se.Validate() {
		fields = append(fields, fi.Field)
	}
	must.Eq(t, []string{"instance", "policy", "defaultRunTime", "crossDataCentreLatency, ageing, retryRatio", "maxEjectionBackOff"}, fields)
}

// TestCentralRetriesRefusals checks that a job is retried beyond the retry budget under Central, because workers
// refuse tasks if another instance uses the same slots, as after a partition.
func TestCentralRetriesRefusals(t *testing.T) {
	dr := newPoolDriver(2, 1, func(se *Settings) { se.Policy, se.RetryBurst = Central, 1 })
	dr.submit("s", "a", 1, time.Minute)
	for range 20 {
		must.Len(t, 1, dr.inFlight)
		_, ended := finished(dr.endTask(0, NotStarted))
		must.False(t, ended)
		dr.advance(2 * time.Second)
	}
	dr.requireNoViolations(t)
}
