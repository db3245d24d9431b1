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

// oneInstance returns a driver whose instance owns all slots of n workers in its data centre, with services "s", "t"
// and "u" (no workers).
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
	must.SliceEmpty(t, dr.ch.violations)
}

// Guards against a refusal without a reason, with a wrong retry time, or with something started.
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
			sv := dr.co.services["s"]
			sv.meanRunTime, sv.samples = 0.5, trustedSamples // learned: 0.5 s, so 24 tasks on 4 slots take 3 s
			dr.submit("s", "a", 24, time.Minute)
			must.Eq(t, 20, dr.co.queued)
			su := ok
			tt.change(&su)
			fi, refused := finished(dr.step(su))
			must.Eq(t, tt.reason != "", refused, must.Sprintf("%+v", fi))
			if refused {
				must.Eq(t, lovagejob.NotRun, fi.Outcome)
				must.True(t, strings.HasPrefix(fi.Reason, tt.reason) || strings.HasSuffix(fi.Reason, tt.reason), must.Sprint(fi.Reason))
				must.Eq(t, tt.retry, fi.RetryAt.After(epoch))
				must.MapNotContainsKey(t, dr.co.jobs, su.Job)
			}
			dr.requireNoViolations(t)
		})
	}
}

// Guards against a core that never recovers from a wrong estimate because it refuses everything.
func TestAdmissionWithWrongEstimate(t *testing.T) {
	dr := newPoolDriver(1, 1, nil)
	dr.step(Submit{Job: 99, Service: "s", Team: "a", Tasks: 1, Deadline: epoch.Add(time.Second), DeclaredRunTime: time.Hour})
	must.Len(t, 1, dr.inFlight, must.Sprint("a declared run time that is far off must not refuse the job"))
	dr.co.services["s"].meanRunTime, dr.co.services["s"].samples = 100, 100
	dr.endTask(0, Succeeded)
	dr.submit("s", "a", 1, time.Second)
	must.Len(t, 1, dr.inFlight, must.Sprint("a job is let in when nothing of the service runs"))
	dr.requireNoViolations(t)
}

// Guards against an accepted job that drain drops, and a job that drain lets in.
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

// Guards against an expired, cancelled or failed job that claims not to have run though it has, keeps its tasks, or
// gives a reason that does not name the task.
func TestJobEndsEarly(t *testing.T) {
	dr := newPoolDriver(1, 1, nil)
	first := dr.submit("s", "a", 3, time.Second)
	dr.submit("s", "a", 4, time.Second)
	third := dr.submit("s", "a", 5, time.Minute)
	out := dr.step(Cancel{Job: third})
	fi, _ := finished(out)
	must.Eq(t, FinishJob{Job: third, Outcome: lovagejob.NotRun, Reason: "cancelled by the caller"}, fi)
	dr.advance(2 * time.Second)
	must.Eq(t, 3, dr.ch.finished)
	must.Eq(t, 0, dr.co.queued)
	must.True(t, dr.co.jobs[first].ended, must.Sprint("kept until its running task has ended"))
	dr.endTask(0, Succeeded)
	must.MapEmpty(t, dr.co.jobs)
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
	must.Eq(t, 0, dr.co.queued)
	dr.requireNoViolations(t)
}

// Guards against a retry on the worker that has just refused, against a retry without budget, and against a false
// "not run" after it.
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
		must.Len(t, 2, dr.inFlight, must.Sprint("a job that has started is not given up"))
		dr.endTask(1, NotStarted)
		dr.advance(2 * time.Second)
	}
	dr.requireNoViolations(t)
}

// Guards against a start on a worker after any sign that it is leaving, and against the loss of the task it refused.
func TestLeavingWorker(t *testing.T) {
	dr := newPoolDriver(2, 2, nil)
	dr.submit("s", "a", 4, time.Minute)
	st := dr.inFlight[0].start
	dr.inFlight = dr.inFlight[1:]
	dr.step(TaskEnded{Job: st.Job, Task: st.Task, Worker: st.Worker, State: NotStarted, Leaving: true})
	must.Len(t, 3, dr.inFlight, must.Sprint("nothing starts on the leaving worker"))
	dr.step(WorkersChanged{Workers: []Worker{dr.co.workerList[0].spec, dr.co.workerList[1].spec}}) // a list that lags
	must.Len(t, 3, dr.inFlight)
	for len(dr.inFlight) > 0 {
		dr.endTask(0, Succeeded)
	}
	must.Eq(t, 1, dr.ch.finished)
	dr.requireNoViolations(t)
}

// Guards against faulty settings that are let through, and findings that do not name the field.
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

// Guards against a job that is lost because another instance uses the same slots, as after a partition.
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
