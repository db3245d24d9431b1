package lovagetrial

import (
	"context"
	"sync"
	"time"

	"lovagestack/lovageapi"
	"lovagestack/lovageresource"
)

// Amount of work in a cell: enough that each step is taken many times a second.
const (
	cellCallers            = 3
	cellTasksPerJob        = 3
	cellTaskRunTime        = 20 * time.Millisecond
	callerPause            = 20 * time.Millisecond // pause between two jobs of a caller
	lateCallerPollInterval = 10 * time.Millisecond // pause between two checks for instances that shut down
	maxLateCalls           = 16                    // maximum number of calls in progress, which pile up on a busy machine
	markerInterval         = 60 * time.Millisecond // pause between two changes of the configuration
)

const markerTeam = "marker"

// startWork starts callers, an operator and a watcher, which work until ctx ends.
func (run *cellRun) startWork() {
	for i := range cellCallers {
		rc := &resubmittingCaller{cell: run, randomStream: uint64(i)}
		run.workGroup.Go(rc.run)
	}
	run.workGroup.Go((&lateCaller{cell: run}).run)
	run.workGroup.Go((&markerOperator{cell: run}).run)
	run.workGroup.Go((&resourceWatcher{cell: run}).run)
}

// mintKey mints a key and adds it to the keys of the cell.
func (run *cellRun) mintKey(ctx context.Context, ca *Caller, it *Instance, repeatable bool) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, cellCallTimeout)
	defer cancel()
	keys, err := ca.Mint(ctx, it, 1, repeatable)
	if err != nil {
		return "", err
	}
	run.mu.Lock()
	run.keys = append(run.keys, cellKey{key: keys[0], repeatable: repeatable, minter: it.Name})
	run.mu.Unlock()
	return keys[0], nil
}

func (run *cellRun) newJob(key string, repeatable bool) lovageapi.JobRequest {
	return NewJob(key, repeatable, cellTasksPerJob, cellTaskRunTime, time.Now().Add(recoveryTimeout/3))
}

// resubmittingCaller submits each job at once to the instance that minted its key and to a random one. After both calls
// it submits the job to a random instance again.
type resubmittingCaller struct {
	cell         *cellRun
	randomStream uint64
}

func (rc *resubmittingCaller) run() {
	run := rc.cell
	rng := run.newRand(rc.randomStream)
	ca := run.de.NewCaller()
	for n := 0; run.ctx.Err() == nil; n++ {
		running := run.de.Running()
		if len(running) == 0 {
			_ = pauseFor(run.ctx, callerPause)
			continue
		}
		minter := running[0] // usually the first instance, so that its keys are always in use
		if rng.IntN(3) == 0 {
			minter = running[rng.IntN(len(running))]
		}
		repeatable := n%4 == 3
		key, err := run.mintKey(run.ctx, ca, minter, repeatable)
		if err != nil {
			_ = pauseFor(run.ctx, callerPause)
			continue
		}
		jo := run.newJob(key, repeatable)
		var firstSubmissions sync.WaitGroup
		for _, it := range []*Instance{minter, running[rng.IntN(len(running))]} {
			firstSubmissions.Go(func() { run.submit(ca, it, jo) })
		}
		firstSubmissions.Wait()
		run.submit(ca, running[rng.IntN(len(running))], jo)
		_ = pauseFor(run.ctx, callerPause)
	}
}

// submit waits for the answer even after the work has ended, so that Check can examine it.
func (run *cellRun) submit(ca *Caller, it *Instance, jo lovageapi.JobRequest) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(run.ctx), cellCallTimeout)
	defer cancel()
	_, _ = ca.Submit(ctx, it, jo) // recorded for Check
}

// lateCaller submits jobs to instances that are shutting down, as if its load balancer did not know of the shutdown.
type lateCaller struct{ cell *cellRun }

func (lc *lateCaller) run() {
	run := lc.cell
	ca := run.de.NewCaller()
	var submissions sync.WaitGroup
	defer submissions.Wait()
	permits := make(chan struct{}, maxLateCalls)
	for n := 0; pauseFor(run.ctx, lateCallerPollInterval) == nil; n++ {
		for _, it := range run.de.Instances() {
			running := run.de.Running()
			if !it.stopping.Load() || it.ended() || len(running) == 0 {
				continue
			}
			select {
			case permits <- struct{}{}:
			default:
				continue
			}
			submissions.Go(func() {
				defer func() { <-permits }()
				repeatable := n%2 == 1
				key, err := run.mintKey(run.ctx, ca, running[n%len(running)], repeatable)
				if err == nil {
					run.submit(ca, it, run.newJob(key, repeatable))
				}
			})
		}
	}
}

// markerOperator repeatedly changes the team marker, at one running instance after the other.
type markerOperator struct{ cell *cellRun }

func (mo *markerOperator) run() {
	for n := 1; mo.cell.ctx.Err() == nil; n++ {
		ctx, cancel := context.WithTimeout(mo.cell.ctx, cellCallTimeout)
		mo.cell.putMarkerTeam(ctx, n%900+1)
		cancel()
		_ = pauseFor(mo.cell.ctx, markerInterval)
	}
}

// putMarkerTeam sends a change of the team marker to the running instances in turn until one accepts it.
func (run *cellRun) putMarkerTeam(ctx context.Context, weight int) (revision int64, accepted bool) {
	op := run.de.NewOperator()
	running := run.de.Running()
	for i := range running {
		it := running[(i+weight)%len(running)]
		li, err := op.Read(ctx, it)
		if err != nil {
			continue
		}
		res, err := op.Put(ctx, it, lovageresource.Resource{
			Kind: lovageresource.KindTeam, Name: markerTeam, Spec: lovageresource.Team{Weight: float64(weight)},
			Revision: revisionOf(li.Resources, lovageresource.KindTeam, markerTeam),
		})
		if err == nil && res.Outcome == lovageresource.WriteAccepted {
			return res.Revision, true
		}
	}
	return 0, false
}

// resourceWatcher watches the resources of the first instance and reports changes as stepWatch.
type resourceWatcher struct{ cell *cellRun }

func (rw *resourceWatcher) run() {
	run := rw.cell
	op := run.de.NewOperator()
	for run.ctx.Err() == nil {
		it := run.de.Instance(firstInstanceName)
		if li, err := op.Read(run.ctx, it); err == nil {
			_ = op.Watch(run.ctx, it, li.Revision, func() { run.onStep(it, stepWatch) }) // recorded for Check
		}
		_ = pauseFor(run.ctx, pollInterval)
	}
}
