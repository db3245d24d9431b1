package lovagepool

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"lovagestack/lovagejob"
)

// serviceWorker returns a worker with room for one task of 14 cores.
func serviceWorker(id, service string) Worker {
	wo := testWorker(id, 16000)
	wo.Service = service
	return wo
}

// Guards against starts on workers of a service to which the configuration in force does not send the queue, because a job kept the service
// that it had when it arrived.
func TestStartsFollowTheServiceOfTheQueue(t *testing.T) {
	changed := map[string]string{"queue": "other"}
	cases := []struct {
		name string
		play func(ha *harness)
		want []string
	}{
		{"waiting job", func(ha *harness) {
			ha.submit("a", 1, 14000)
			ha.submit("b", 1, 14000)
			ha.commands()
			ha.po.SetServices(ha.now, 2, changed)
		}, []string{"start w2 b.0.0.0 1"}},
		{"job with an older configuration than the owner's", func(ha *harness) {
			ha.po.SetServices(ha.now, 2, changed)
			ha.submit("a", 1, 14000)
		}, []string{"start w2 a.0.0.0 1"}},
		{"job with a newer configuration than the owner's", func(ha *harness) {
			ha.po.SetServices(ha.now, 2, changed)
			wo := ha.newWork("a", 1, 14000)
			wo.ConfigVersion = 3
			ha.po.Submit(ha.now, &Job{Ref: "a", Work: wo})
		}, []string{"start w1 a.0.0.0 1"}},
		{"older configuration after a newer one", func(ha *harness) {
			ha.po.SetServices(ha.now, 3, changed)
			ha.po.SetServices(ha.now, 2, map[string]string{"queue": "checks"})
			ha.submit("a", 1, 14000)
		}, []string{"start w2 a.0.0.0 1"}},
		{"queue that was removed", func(ha *harness) {
			ha.submit("a", 1, 14000)
			ha.submit("b", 1, 14000)
			ha.commands()
			ha.po.SetServices(ha.now, 2, map[string]string{})
			ha.reportEnded("w1", "a.0.0.0", 1, RunDone)
		}, []string{"finish a completed", "start w1 b.0.0.0 1"}},
		{"next step", func(ha *harness) {
			wo := ha.newWork("a", 1, 14000)
			wo.Steps = append(wo.Steps, lovagejob.Step{Count: 1, Resources: wo.Steps[0].Resources, RunTime: 200 * time.Millisecond, DependsOn: []int{0}})
			ha.po.Submit(ha.now, &Job{Ref: "a", Work: wo})
			ha.commands()
			ha.po.SetServices(ha.now, 2, changed)
			ha.reportEnded("w1", "a.0.0.0", 1, RunDone)
		}, []string{"start w2 a.0.1.0 1"}},
		{"task that is tried again", func(ha *harness) {
			ha.submit("a", 1, 14000)
			ha.commands()
			ha.po.SetServices(ha.now, 2, changed)
			ha.reportEnded("w1", "a.0.0.0", 1, RunFailed)
		}, []string{"start w2 a.0.0.0 2"}},
		{"offloaded task of a peer with an older configuration", func(ha *harness) {
			ha.po.SetServices(ha.now, 2, changed)
			ha.po.Submit(ha.now, &Job{Ref: "x", Work: ha.newWork("a", 1, 14000), Offloaded: []OffloadedTask{{0, 0, 1}}})
		}, []string{"finish x notRun"}},
		{"configuration that comes with an offloaded task", func(ha *harness) {
			ha.po.Submit(ha.now, &Job{Ref: "x", Work: ha.newWork("a", 1, 14000), Offloaded: []OffloadedTask{{0, 0, 1}}})
			ha.po.SetServices(ha.now, 2, changed)
		}, []string{"finish x notRun"}},
		{"waiting job that no worker of the new service may run", func(ha *harness) {
			ha.submit("a", 1, 14000)
			wo := ha.newWork("b", 1, 14000)
			wo.Steps[0].Constraint = "a"
			ha.po.Submit(ha.now, &Job{Ref: "b", Work: wo})
			ha.commands()
			ha.po.SetServices(ha.now, 2, changed)
		}, []string{"finish b notRun"}},
	}
	for _, ca := range cases {
		t.Run(ca.name, func(t *testing.T) {
			other := serviceWorker("w2", "other")
			other.Kind, other.Labels = "b", []string{"b", "r1"}
			ha := newHarness(t, serviceWorker("w1", "checks"), other)
			ca.play(ha)
			must.Eq(t, ca.want, ha.commands())
		})
	}
}
