package main

import (
	"context"

	"lovagestack/lovagemodel"
)

// experimentCommand compares ways to place tasks on workers by simulating loads in virtual time.
type experimentCommand struct {
	Seeds int `arg:"--seeds" default:"4" placeholder:"N" help:"plays of each load"`
}

func (*experimentCommand) help() string {
	return `Each load is played with seeds 0 to N-1 against a model of the workers. The table shows the share of the worth that was
earned, and what became of the jobs of each class. Exit status 1 means that something happened that must never happen:
an overfilled worker, two runs of a task at once, or a false "not run".`
}

func (ec *experimentCommand) run(_ context.Context, en *environment) int {
	if ec.Seeds < 1 {
		ec.Seeds = 1
	}
	_, violations, err := lovagemodel.Experiment(en.stdout, lovagemodel.Scenarios(), ec.Seeds)
	switch {
	case err != nil:
		return en.fail(exitFailed, err)
	case violations > 0:
		return exitFailed
	}
	return exitOK
}
