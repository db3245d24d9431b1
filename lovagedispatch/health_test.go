package lovagedispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// simulate submits jobs of one task for the duration du, one per gap. The function team gives the team of the n-th job,
// and run gives the run time and the outcome of each task.
func (dr *driver) simulate(du, gap time.Duration, team func(n int) string, run func(worker, team string) (time.Duration, TaskState)) {
	end := dr.now.Add(du)
	for n := 0; dr.now.Before(end); n++ {
		tm := team(n)
		id := dr.submit("s", tm, 1, 10*time.Second)
		dr.teamOf[id] = tm
		next := dr.now.Add(gap)
		for {
			first, at := -1, next
			for i, st := range dr.inFlight {
				took, _ := run(st.start.Worker, dr.teamOf[st.start.Job])
				if due := st.at.Add(took); due.Before(at) {
					first, at = i, due
				}
			}
			if dr.wakeAt.After(dr.now) && dr.wakeAt.Before(at) {
				dr.now = dr.wakeAt
				dr.step(Tick{})
				continue
			}
			if at.After(dr.now) {
				dr.now = at
			}
			if first < 0 {
				break
			}
			_, state := run(dr.inFlight[first].start.Worker, dr.teamOf[dr.inFlight[first].start.Job])
			dr.endTask(first, state)
		}
	}
}

func (dr *driver) ejectedWorkers() (ids []string) {
	for _, wo := range dr.core.workerList {
		if wo.health.state != healthy {
			ids = append(ids, wo.spec.ID)
		}
	}
	return ids
}

func teamA(int) string { return "a" }

// TestEjectionAndProbe checks that a worker that fails every task is ejected, and reinstated once it has recovered.
func TestEjectionAndProbe(t *testing.T) {
	dr := newPoolDriver(10, 1, nil)
	failing, starts := true, 0
	run := func(worker, _ string) (time.Duration, TaskState) {
		if worker == "w3" && failing {
			return time.Millisecond, Failed
		}
		return 50 * time.Millisecond, Succeeded
	}
	dr.simulate(20*time.Second, 5*time.Millisecond, teamA, run) // 200 tasks of 50 ms a second, more than 9 workers can run
	must.Eq(t, []string{"w3"}, dr.ejectedWorkers())
	for _, jo := range dr.checker.jobs {
		if jo.taskWorkers[0] == "w3" {
			starts++
		}
	}
	must.Between(t, 4, starts, 20, must.Sprint("3 or a few more consecutive failures, then a probe after 1, 2, 4 and 8 s"))
	failing = false
	dr.simulate(40*time.Second, 7*time.Millisecond, teamA, run)
	must.SliceEmpty(t, dr.ejectedWorkers())
	must.Eq(t, 0, dr.core.workerList[3].health.consecutiveFailures)
	dr.requireNoViolations(t)
}

// TestFailingJobsEjectNoWorker checks that no worker is ejected because a team's jobs, or all jobs of a service, fail.
func TestFailingJobsEjectNoWorker(t *testing.T) {
	for _, tt := range []struct {
		name string
		team func(int) string
		gap  time.Duration
	}{
		{"every job", func(int) string { return "bad" }, 9 * time.Millisecond},
		{"every second job", func(n int) string { return []string{"a", "bad"}[n%2] }, 9 * time.Millisecond},
		{"one at a time", func(n int) string { return []string{"a", "bad"}[min(1, n/200)] }, 200 * time.Millisecond},
		{"in bursts", func(n int) string { return []string{"a", "bad"}[n/20%2] }, 9 * time.Millisecond},
	} {
		dr := newPoolDriver(10, 2, nil)
		for range 100 {
			dr.simulate(time.Second, tt.gap, tt.team, func(_, team string) (time.Duration, TaskState) {
				if team == "bad" {
					return 10 * time.Millisecond, Failed
				}
				return 50 * time.Millisecond, Succeeded
			})
			must.SliceEmpty(t, dr.ejectedWorkers(), must.Sprint(tt.name))
		}
		dr.requireNoViolations(t)
	}
}

// TestEjectionCap checks that at most a fifth of a pool is ejected, and that workers are reinstated if the pool shrinks
// afterwards.
func TestEjectionCap(t *testing.T) {
	dr := newPoolDriver(10, 1, nil)
	dr.simulate(20*time.Second, 4*time.Millisecond, teamA, func(worker, _ string) (time.Duration, TaskState) {
		if worker <= "w3" {
			return time.Millisecond, Failed
		}
		return 30 * time.Millisecond, Succeeded
	})
	states := map[string]int{}
	for _, st := range dr.core.Workers() {
		states[st.State]++
	}
	must.Eq(t, 8, states["healthy"])
	must.Between(t, 2, dr.core.Counters().Ejections, 20)
	must.Eq(t, uint64(len(dr.checker.jobs)), dr.core.Counters().JobsAdmitted+dr.core.Counters().JobsRefused)
	must.Len(t, 2, dr.ejectedWorkers(), must.Sprint("4 of 10 workers fail every task"))
	dr.step(WorkerLeaving{Worker: "w9"})
	must.Len(t, 1, dr.ejectedWorkers())
	dr.requireNoViolations(t)
}

// TestStragglerGetsFewerTasks checks that a slow worker gets fewer tasks than the others without being ejected, and an
// even share again after it has recovered.
func TestStragglerGetsFewerTasks(t *testing.T) {
	dr := newPoolDriver(10, 1, nil)
	slow := 10
	count := func(from uint64) (n int) {
		for id, jo := range dr.checker.jobs {
			if id > from && jo.taskWorkers[0] == "w3" {
				n++
			}
		}
		return n
	}
	run := func(worker, _ string) (time.Duration, TaskState) {
		if worker == "w3" {
			return time.Duration(slow) * 50 * time.Millisecond, Succeeded
		}
		return 50 * time.Millisecond, Succeeded
	}
	dr.simulate(30*time.Second, 8*time.Millisecond, teamA, run)
	from := dr.nextJob
	dr.simulate(10*time.Second, 8*time.Millisecond, teamA, run)
	must.SliceEmpty(t, dr.ejectedWorkers())
	must.Less(t, 40, count(from), must.Sprint("an even share is 125 of 1,250 tasks"))
	slow = 1
	dr.simulate(240*time.Second, 8*time.Millisecond, teamA, run)
	from = dr.nextJob
	dr.simulate(10*time.Second, 5300*time.Microsecond, teamA, run)
	must.Greater(t, 100, count(from), must.Sprint("at a load of 0.94 an even share is 189 of 1,887 tasks"))
	dr.requireNoViolations(t)
}

// TestSlowSlotIsLeftIdle checks that a task waits for a faster slot if it is expected to complete sooner there, but
// only for a limited time.
func TestSlowSlotIsLeftIdle(t *testing.T) {
	dr := newPoolDriver(2, 2, nil)
	dr.core.services["s"].meanRunTime, dr.core.services["s"].sampleCount = 0.1, 100
	dr.core.workerList[1].setSlowdown(8)
	dr.core.updateWorker(dr.core.workerList[1])
	dr.submit("s", "a", 3, time.Minute)
	must.Len(t, 2, dr.inFlight, must.Sprint("the third task waits 0.05 s for a fast slot instead of 0.8 s on a slow one"))
	must.Eq(t, "w0", dr.inFlight[0].start.Worker)
	dr.endTask(0, Succeeded)
	must.Eq(t, "w0", dr.inFlight[1].start.Worker)
	dr.submit("s", "a", 1, time.Minute)
	must.Len(t, 2, dr.inFlight)
	dr.advance(time.Second)
	must.Eq(t, "w1", dr.inFlight[2].start.Worker, must.Sprint("the fast slots did not become free"))
	dr.submit("s", "a", 100, time.Minute)
	must.Len(t, 4, dr.inFlight, must.Sprint("with a long queue the slow slots are used"))
	dr.requireNoViolations(t)
}

// TestLearnedSpeed checks that a change of a worker's speed is noticed within 12 tasks, not only after a hundred, and
// that a single long task does not make a worker look slow.
func TestLearnedSpeed(t *testing.T) {
	dr := newPoolDriver(2, 1, nil)
	sv, steady, slowed := dr.core.services["s"], dr.core.workerList[0], dr.core.workerList[1]
	for n := range 2000 {
		took := 50 * time.Millisecond
		if n%100 == 99 {
			took *= 20
		}
		dr.core.learnRunTime(sv, steady, took)
		dr.core.learnRunTime(sv, slowed, took)
		if n > 300 {
			must.Between(t, 0.85, steady.slowdown, 1.15)
		}
	}
	for range 12 {
		dr.core.learnRunTime(sv, slowed, 500*time.Millisecond)
	}
	must.Greater(t, 3, slowed.slowdown)
}
