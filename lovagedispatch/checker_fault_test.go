package lovagedispatch

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"lovagestack/lovagejob"
)

// TestCheckerRejectsInvalidHistories checks that the checker finds the violation in each invalid history and none in
// the valid one.
func TestCheckerRejectsInvalidHistories(t *testing.T) {
	start := func(task int, worker string) Command {
		return StartTask{Job: 1, Task: task, Worker: worker}
	}
	finish := func(ou lovagejob.Outcome, started int) Command {
		return FinishJob{Job: 1, Outcome: ou, Started: started}
	}
	submit := Submit{Job: 1, Team: "a", Tasks: 9}
	ended := func(state TaskState) Event { return TaskEnded{Job: 1, Task: 0, Worker: "w1", State: state} }
	for _, tt := range []struct {
		name  string
		steps []any // Event or Command
		want  string
	}{
		{"right", []any{submit, start(0, "w1"), ended(NotStarted), start(0, "w1"), start(1, "w1")}, ""},
		{"running task started again", []any{submit, start(0, "w1"), start(0, "w1")}, "started twice"},
		{"ended task started again", []any{submit, start(0, "w1"), ended(Succeeded), start(0, "w1")}, "started twice"},
		{"start after the end", []any{submit, finish(lovagejob.NotRun, 0), start(0, "w1")}, "after the job's end"},
		{"slots", []any{submit, start(0, "w1"), start(1, "w1"), start(2, "w1")}, "3 tasks on 2 slots"},
		{"leaving worker", []any{submit, WorkerLeaving{Worker: "w1"}, start(0, "w1")}, "leaving or gone"},
		{"worker gone", []any{submit, WorkersChanged{}, start(0, "w1")}, "leaving or gone"},
		{"leaving by header", []any{submit, start(1, "w1"), TaskEnded{Job: 1, Task: 1, Worker: "w1", Leaving: true}, start(0, "w1")}, "leaving"},
		{"quota", []any{submit, TeamsChanged{Teams: []Team{{Name: "a", MaxRunning: 1}}}, start(0, "w1"), start(1, "w1")}, "its quota is 1"},
		{"not run after a start", []any{submit, start(0, "w1"), ended(Succeeded), finish(lovagejob.NotRun, 1)}, "notRun after 1 starts"},
		{"wrong count", []any{submit, start(0, "w1"), finish(lovagejob.Failed, 0)}, "0 starts reported, 1 seen"},
		{"goes on", []any{submit, start(0, "w1"), ended(Unknown), start(1, "w1")}, "goes on after a task failed"},
		{"two ends", []any{submit, finish(lovagejob.NotRun, 0), finish(lovagejob.NotRun, 0)}, "ended twice"},
		{"complete too early", []any{submit, finish(lovagejob.Complete, 0)}, `complete with task 0 ""`},
	} {
		t.Run(tt.name, func(t *testing.T) {
			ch := newChecker(DefaultSettings("e1", "kandla"))
			ch.observeEvent(epoch, WorkersChanged{[]Worker{{ID: "w1", DataCentre: "kandla", Slots: 2}, {ID: "w2", DataCentre: "navlakhi", Slots: 2}}})
			for _, st := range tt.steps {
				switch st := st.(type) {
				case Event:
					ch.observeEvent(ch.now, st)
				case Command:
					ch.observeCommands([]Command{st})
				case time.Duration:
					ch.now = ch.now.Add(st)
				}
			}
			got := strings.Join(ch.violations, "; ")
			must.Eq(t, tt.want == "", got == "", must.Sprint(got))
			must.StrContains(t, got, tt.want)
		})
	}
}

// TestCheckerDetectsCorruptCore checks that the checker finds wrong sums in a core, a job that is neither queued nor
// running, too many ejected workers, and a start on an ejected worker.
func TestCheckerDetectsCorruptCore(t *testing.T) {
	for want, corrupt := range map[string]func(*Core){
		"":                        func(*Core) {},
		"sums: queued":            func(co *Core) { co.queuedTasks++ },
		"sums: running":           func(co *Core) { co.runningTasks-- },
		"sums: ready":             func(co *Core) { co.activeClasses[0].readyTasks++ },
		"sums: rates":             func(co *Core) { co.workerList[0].slowdown = 9 },
		"neither queued nor":      func(co *Core) { co.dequeue(co.deadlines.top().item) },
		"2 of 5 workers ejected":  func(co *Core) { co.workerList[0].health.state, co.workerList[1].health.state = ejected, probing },
		"start on ejected worker": func(co *Core) { co.workers["w3"].health.state = ejected },
	} {
		dr := newPoolDriver(5, 1, nil)
		dr.submit("s", "a", 5, time.Minute)
		dr.submit("s", "a", 5, time.Minute)
		dr.requireNoViolations(t)
		corrupt(dr.core)
		dr.checker.checkCore(dr.core, []Command{StartTask{Job: 1, Task: 0, Worker: "w3"}})
		got := strings.Join(dr.checker.violations, "; ")
		must.Eq(t, want == "", got == "", must.Sprintf("%q: %q", want, got))
		must.StrContains(t, got, strings.Split(want, ":")[0])
	}
}
