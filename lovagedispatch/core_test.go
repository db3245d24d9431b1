package lovagedispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"lovagestack/lovagejob"
)

var epoch = time.Unix(1_800_000_000, 0)

// Guards against a core that accepts a job without starting or finishing it.
func TestJobCompletes(t *testing.T) {
	co := New(DefaultSettings("e1", "kandla"), rand.New(rand.NewPCG(1, 2)))
	co.Step(epoch, MembersChanged{Members: []Member{{ID: "e1", DataCentre: "kandla"}}}, nil)
	co.Step(epoch, WorkersChanged{Workers: []Worker{{ID: "w1", DataCentre: "kandla", Pool: "p", Slots: 2}}}, nil)
	co.Step(epoch, ServicesChanged{Services: []Service{{Name: "ticket"}}}, nil)
	out := co.Step(epoch, Submit{Job: 7, Service: "ticket", Team: "a", Deadline: epoch.Add(time.Second), Tasks: 2}, nil)
	must.SliceContainsAll(t, out[:2], []Command{
		StartTask{Job: 7, Task: 0, Worker: "w1"}, StartTask{Job: 7, Task: 1, Worker: "w1"},
	})
	co.Step(epoch, TaskEnded{Job: 7, Task: 0, Worker: "w1", State: Succeeded}, nil)
	out = co.Step(epoch, TaskEnded{Job: 7, Task: 1, Worker: "w1", State: Succeeded}, nil)
	must.SliceContains(t, out, Command(FinishJob{Job: 7, Outcome: lovagejob.Complete, Started: 2}))
}
