package lovagebench

import (
	"context"
	"time"

	"lovagestack/lovagefake"
	"lovagestack/lovageload"
)

// Scenario is a row with a fault or a change of load. Outside bursts it runs at scenarioLoad.
type Scenario struct {
	Name        string
	BurstFactor float64 // multiplies the load for a tenth of the measured time; 0 for no burst
	// Trigger is called halfway through the measured time. The returned function, if any, is called after the row.
	Trigger     func(ctx context.Context, de *deployment, ca *callers) (undo func())
	Destructive bool // makes the deployment unusable, so it must be the last scenario and runs with the first seed only
}

const scenarioLoad = 0.6

// Scenarios returns the scenarios of a full measurement.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "burst of 5x", BurstFactor: 5},
		{Name: "cancel all in progress", Trigger: cancelAllJobs},
		{Name: "worker fails all", Trigger: failFastestWorker},
		{Name: "instance killed", Trigger: killInstance, Destructive: true},
	}
}

func cancelAllJobs(ctx context.Context, _ *deployment, ca *callers) func() {
	ca.cancelAllJobs(ctx)
	return nil
}

// failFastestWorker makes one of the fastest workers fail every task immediately. Such a worker attracts the most tasks.
func failFastestWorker(_ context.Context, de *deployment, _ *callers) func() {
	fastest := 0
	for i, speed := range de.speeds {
		if speed > de.speeds[fastest] {
			fastest = i
		}
	}
	de.workers[fastest].SetFaults(lovagefake.WorkerFaults{FailEverything: true})
	return func() { de.workers[fastest].SetFaults(lovagefake.WorkerFaults{}) }
}

func killInstance(_ context.Context, de *deployment, _ *callers) func() {
	de.instances[len(de.instances)-1].kill()
	return nil
}

// point is a load or a scenario to measure.
type point struct {
	name     string
	load     float64
	scenario Scenario
}

func (op *Options) points() []point {
	out := make([]point, 0, len(op.Loads)+len(op.Scenarios))
	for _, load := range op.Loads {
		out = append(out, point{name: loadName(load), load: load})
	}
	for _, sc := range op.Scenarios {
		out = append(out, point{name: sc.Name, load: scenarioLoad, scenario: sc})
	}
	return out
}

// burst returns the scenario's burst, if any. The burst starts halfway through the measured time.
func (po *point) burst(op *Options) lovageload.Burst {
	if po.scenario.BurstFactor == 0 {
		return lovageload.Burst{}
	}
	return lovageload.Burst{Period: op.RowWarmUp + op.Measured*6/10, Length: op.Measured / 10, Factor: po.scenario.BurstFactor}
}

// action runs the Trigger of a scenario after a delay.
type action struct {
	po   *point
	de   *deployment
	ca   *callers
	undo func()
	done chan struct{}
}

func (ac *action) run(ctx context.Context, after time.Duration) {
	defer close(ac.done)
	if ac.po.scenario.Trigger != nil && sleep(ctx, after) {
		ac.undo = ac.po.scenario.Trigger(ctx, ac.de, ac.ca)
	}
}

// finish waits for the action and undoes it.
func (ac *action) finish() {
	<-ac.done
	if ac.undo != nil {
		ac.undo()
	}
}
