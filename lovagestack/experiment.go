package main

import (
	"context"

	"lovagestack/lovagemodel"
)

// experimentCommand compares ways to place tasks on workers by simulating loads in virtual time.
type experimentCommand struct {
	Seeds     int  `arg:"--seeds" default:"4" placeholder:"N" help:"plays of each load"`
	Customers bool `arg:"--customers" help:"play the loads of the job boards and the wind farms instead, against a bound"`
	Workers   int  `arg:"--workers" default:"100" placeholder:"N" help:"with --customers: workers, of 350; the rates are in proportion"`
}

func (*experimentCommand) help() string {
	return `Each load is played with seeds 0 to N-1 against a model of the workers. The table shows the share of the worth that was
earned, and what became of the jobs of each class. Exit status 1 means that something happened that must never happen:
an overfilled worker, two runs of a task at once, a false "not run", or a result above the bound.

With --customers the results are shares of what no policy could exceed with perfect knowledge (package lovagemodel, type Bound).
With all 350 workers a play at three times the rate takes about half a minute.`
}

func (ec *experimentCommand) run(_ context.Context, en *environment) int {
	if ec.Seeds < 1 {
		ec.Seeds = 1
	}
	var violations int
	var err error
	if ec.Customers {
		violations, err = lovagemodel.CustomerExperiment(en.stdout, lovagemodel.CustomerScenarios(max(ec.Workers, 3)), ec.Seeds)
	} else {
		_, violations, err = lovagemodel.Experiment(en.stdout, lovagemodel.Scenarios(), ec.Seeds)
	}
	switch {
	case err != nil:
		return en.fail(exitFailed, err)
	case violations > 0:
		return exitFailed
	}
	return exitOK
}
