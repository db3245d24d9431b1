package lovagedispatch

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests unless one is given, so that the verdict does not vary between runs.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.steps": "80"} {
		if it := flag.Lookup(name); it.Value.String() == it.DefValue && it.Value.Set(value) != nil {
			panic("flag " + name)
		}
	}
	os.Exit(m.Run())
}

// startedTask is a started task that has not ended.
type startedTask struct {
	start StartTask
	at    time.Time
}

type recordedStep struct {
	now time.Time
	ev  Event
	out []Command
}

// driver steps a core and keeps the state that an integrator would keep.
type driver struct {
	core     *Core
	checker  *checker
	now      time.Time
	inFlight []startedTask
	nextJob  uint64
	wakeAt   time.Time
	steps    []recordedStep

	teamOf map[uint64]string
}

func newDriver(se Settings) *driver {
	seed := xxhash.Sum64String(se.Instance)
	return &driver{core: New(se, rand.New(rand.NewPCG(1, seed))), checker: newChecker(se), now: epoch, teamOf: map[uint64]string{}}
}

func (dr *driver) step(ev Event) []Command {
	dr.checker.observeEvent(dr.now, ev)
	out := dr.core.Step(dr.now, ev, nil)
	dr.steps = append(dr.steps, recordedStep{dr.now, ev, out})
	dr.checker.observeCommands(out)
	dr.checker.checkCore(dr.core, out)
	for _, cm := range out {
		switch cm := cm.(type) {
		case StartTask:
			dr.inFlight = append(dr.inFlight, startedTask{cm, dr.now})
		case WakeAt:
			dr.wakeAt = cm.At
		}
	}
	return out
}

func (dr *driver) submit(service, team string, tasks int, deadline time.Duration) uint64 {
	dr.nextJob++
	dr.step(Submit{Job: dr.nextJob, Service: service, Team: team, Tasks: tasks, Deadline: dr.now.Add(deadline)})
	return dr.nextJob
}

func (dr *driver) endTask(i int, state TaskState) []Command {
	st := dr.inFlight[i].start
	dr.inFlight = append(dr.inFlight[:i], dr.inFlight[i+1:]...)
	return dr.step(TaskEnded{Job: st.Job, Task: st.Task, Worker: st.Worker, State: state, Err: "test"})
}

// advance advances the time and steps the core at each time for which it requested a tick.
func (dr *driver) advance(du time.Duration) {
	end := dr.now.Add(du)
	for dr.wakeAt.After(dr.now) && dr.wakeAt.Before(end) {
		dr.now = dr.wakeAt
		dr.step(Tick{})
	}
	dr.now = end
	dr.step(Tick{})
}

func testWorkers(n, slots int) []Worker {
	out := make([]Worker, n)
	for i := range out {
		out[i] = Worker{
			ID: fmt.Sprintf("w%03d", i), DataCentre: []string{"kandla", "navlakhi"}[i%8/7], Pool: []string{"p", "q"}[i%5/4],
			Slots: slots, Cores: int64(8 << (i % 2)), MemoryBytes: 64 << 30,
		}
	}
	return out
}

var testServices = []Service{
	{Name: "both"},
	{Name: "ponly", Pools: []string{"p"}, MaxQueuedTasks: 40},
	{Name: "qonly", Pools: []string{"q"}, RetryRatio: 0.01},
}

// TestCoreInvariants checks that random orders of events lead to no violation that the checker detects, under every
// policy.
func TestCoreInvariants(t *testing.T) {
	for _, po := range []Policy{Central, Alone, Random, RoundRobin, LeastInFlight} {
		t.Run(string(po), func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				se := DefaultSettings("e1", "kandla")
				se.Policy, se.RetryBurst = po, 3
				dr := newDriver(se)
				dr.step(WorkersChanged{Workers: testWorkers(25, 2)})
				dr.step(ServicesChanged{Services: testServices})
				dr.step(TeamsChanged{Teams: []Team{{Name: "a", Weight: 3, MaxRunning: 5}, {Name: "b", MaxQueuedTasks: 60}}})
				rt.Repeat(dr.actions())
				dr.requireSameReplay(rt)
			})
		})
	}
}

// requireSameReplay checks that a new core gives the same commands when it gets the recorded events again. Decisions
// may depend only on settings, seed and events, not for example on the order of a map.
func (dr *driver) requireSameReplay(rt *rapid.T) {
	again := newDriver(dr.checker.settings)
	for i, rs := range dr.steps {
		if out := again.core.Step(rs.now, rs.ev, nil); !reflect.DeepEqual(out, rs.out) {
			rt.Fatalf("step %d, %+v: first %+v, then %+v", i, rs.ev, rs.out, out)
		}
	}
}

func (dr *driver) actions() map[string]func(*rapid.T) {
	acts := map[string]func(*rapid.T){
		"submit": func(rt *rapid.T) {
			dr.nextJob++
			dr.step(Submit{
				Job: dr.nextJob, Service: rapid.SampledFrom([]string{"both", "ponly", "qonly", "none"}).Draw(rt, "service"),
				Team: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "team"), Tasks: rapid.IntRange(0, 30).Draw(rt, "tasks"),
				Deadline:      dr.now.Add(time.Duration(rapid.IntRange(-1, 5000).Draw(rt, "deadline")) * time.Millisecond),
				DeclaredCores: rapid.SampledFrom([]int64{0, 8, 12, 16, 17}).Draw(rt, "cores"),
			})
		},
		"submitAgain": func(rt *rapid.T) {
			if jo := dr.core.jobs[dr.nextJob]; jo != nil && !jo.ended {
				dr.step(Submit{Job: dr.nextJob, Service: "both", Tasks: int(jo.taskCount), Deadline: dr.now.Add(time.Second)})
			}
		},
		"pass": func(rt *rapid.T) {
			dr.advance(time.Duration(rapid.IntRange(0, 1500).Draw(rt, "ms")) * time.Millisecond)
		},
		"cancel": func(rt *rapid.T) { dr.step(Cancel{Job: rapid.Uint64Range(0, dr.nextJob).Draw(rt, "job")}) },
		"leave": func(rt *rapid.T) {
			dr.step(WorkerLeaving{Worker: fmt.Sprintf("w%03d", rapid.IntRange(0, 26).Draw(rt, "w"))})
		},
		"workers": func(rt *rapid.T) {
			dr.step(WorkersChanged{testWorkers(rapid.IntRange(0, 25).Draw(rt, "n"), rapid.IntRange(1, 3).Draw(rt, "slots"))})
		},
		"domains": func(rt *rapid.T) { // changes the domains for which the instance decides, and the domains of workers
			domains := rapid.IntRange(1, 4).Draw(rt, "domains")
			decided := rapid.SliceOfN(rapid.Bool(), domains, domains).Draw(rt, "decided")
			workers := slices.DeleteFunc(testWorkers(25, 2), func(wo Worker) bool {
				return !decided[xxhash.Sum64String(wo.ID)%uint64(domains)]
			})
			for i := range workers {
				workers[i].Domain = fmt.Sprint(xxhash.Sum64String(workers[i].ID) % uint64(domains))
			}
			dr.step(WorkersChanged{workers})
		},
		"services": func(rt *rapid.T) { dr.step(ServicesChanged{testServices[:rapid.IntRange(0, 3).Draw(rt, "n")]}) },
		"teams": func(rt *rapid.T) {
			dr.step(TeamsChanged{[]Team{{Name: "a", MaxRunning: rapid.IntRange(0, 9).Draw(rt, "quota")}}})
		},
		"estimates": func(rt *rapid.T) {
			n := rapid.IntRange(0, 26).Draw(rt, "w")
			dr.step(EstimatesReceived{Estimates{
				Services: []ServiceEstimate{{Service: "both", RunTime: time.Duration(n) * time.Millisecond, LogRunTime: -2}},
				Workers: []WorkerEstimate{
					{Worker: fmt.Sprintf("w%03d", n), Factor: rapid.Float64Range(-1, 40).Draw(rt, "factor"), Ejections: n % 4, Failures: n % 3, Evidence: float64(n)},
				},
			}})
		},
		"": func(rt *rapid.T) { failOnViolations(rt, dr.checker) },
	}
	for _, state := range []TaskState{Succeeded, Succeeded, Succeeded, Failed, NotStarted, Unknown} {
		acts["end "+string(state)] = func(rt *rapid.T) {
			if n := len(dr.inFlight); n > 0 {
				i := rapid.IntRange(0, n-1).Draw(rt, "task")
				st := dr.inFlight[i].start
				dr.endTask(i, state)
				again := slices.ContainsFunc(dr.inFlight, func(it startedTask) bool { return it.start.Job == st.Job && it.start.Task == st.Task })
				if !again && rapid.Bool().Draw(rt, "duplicate") {
					dr.step(TaskEnded{Job: st.Job, Task: st.Task, Worker: st.Worker, State: Succeeded})
				}
			}
		}
	}
	return acts
}

func failOnViolations(rt *rapid.T, ch *checker) {
	if len(ch.violations) > 0 {
		rt.Fatalf("%v", ch.violations)
	}
}
