package lovagedispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"lovagestack/lovagejob"
)

// Guards against speculative starts beyond the budget, against a job that fails because other instances hold the slots,
// and against slots of others that are never tried.
func TestSpeculationIsBounded(t *testing.T) {
	se := DefaultSettings("a", "kandla")
	se.Policy = Speculative
	co := New(se, rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(1000, 0)
	co.Step(now, MembersChanged{Members: []Member{{ID: "a", DataCentre: "kandla"}, {ID: "b", DataCentre: "kandla"}}}, nil)
	workers := make([]Worker, 50)
	for i := range workers {
		workers[i] = Worker{ID: string(rune('0'+i/10)) + string(rune('0'+i%10)), DataCentre: "kandla", Pool: "p", Slots: 8}
	}
	co.Step(now, ServicesChanged{Services: []Service{{Name: "s", RetryRatio: 0.1}}}, nil)
	co.Step(now, WorkersChanged{Workers: workers}, nil)

	// The other instance uses its half of each worker all the time, so every speculative start is refused.
	const tasks = 4000
	out := co.Step(now, Submit{Job: 1, Service: "s", Team: "t", Deadline: now.Add(time.Hour), Tasks: tasks}, nil)
	inFlight := map[string]int{}
	starts, refused, ended := 0, 0, lovagejob.Outcome("")
	for ended == "" {
		var later []TaskEnded
		for _, cm := range out {
			switch cm := cm.(type) {
			case StartTask:
				starts++
				if inFlight[cm.Worker] >= 4 {
					refused++
					later = append(later, TaskEnded{Job: 1, Task: cm.Task, Worker: cm.Worker, State: NotStarted})
					continue
				}
				inFlight[cm.Worker]++
				later = append(later, TaskEnded{Job: 1, Task: cm.Task, Worker: cm.Worker, State: Succeeded})
			case FinishJob:
				ended = cm.Outcome
			}
		}
		out = out[:0]
		now = now.Add(10 * time.Millisecond)
		for _, ev := range later {
			if ev.State == Succeeded {
				inFlight[ev.Worker]--
			}
			out = co.Step(now, ev, out)
		}
		out = co.Step(now, Tick{}, out)
	}
	must.Eq(t, lovagejob.Complete, ended)
	must.Positive(t, refused)
	must.LessEq(t, speculationBurst+int(0.1*float64(starts))+1, refused)
	must.Eq(t, uint64(refused), co.Counters().SpeculationsRefused)
}
