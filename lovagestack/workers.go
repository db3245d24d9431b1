package main

import (
	"context"
	"strconv"
	"time"

	"lovagestack/lovageapi"
)

type workersCommand struct {
	operatorArguments
}

// help implements helpProvider.
func (*workersCommand) help() string {
	return `Shows the workers that the instance uses: those of the domains for which it decides. STATE is healthy, ejected,
probing or leaving. FACTOR is the learned run time relative to a worker of average speed; a worker with 2 takes twice as
long. RUNNING counts the tasks of this instance.`
}

func (cmd *workersCommand) run(ctx context.Context, en *environment) int {
	ctx, cancel := context.WithTimeout(ctx, cmd.Timeout)
	defer cancel()
	cl := cmd.client()
	defer cl.Close()
	list, err := cl.Workers(ctx)
	if err != nil {
		return en.failCall(err, false)
	}
	if en.json {
		return en.printJSON(lovageapi.WorkersReply{Workers: list})
	}
	ta := newTable(en.stdout, "WORKER", "STATE", "FACTOR", "SLOTS", "RUNNING", "NEXT PROBE")
	for _, wo := range list {
		probeTime := ""
		if wo.ProbeAt != nil {
			probeTime = wo.ProbeAt.Format(time.RFC3339)
		}
		ta.row(wo.Worker, wo.State, strconv.FormatFloat(wo.Factor, 'f', 2, 64), strconv.Itoa(wo.Slots),
			strconv.Itoa(wo.Running), probeTime)
	}
	ta.flush()
	return exitOK
}
