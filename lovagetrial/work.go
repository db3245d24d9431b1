package lovagetrial

import (
	"context"
	"sync"
	"time"

	"lovagestack/lovageapi"
	"lovagestack/lovageresource"
)

// Sizes of the work in a cell: enough that each step is taken many times a second.
const (
	cellCallers = 3
	cellTasks   = 3
	cellRunTime = 20 * time.Millisecond
	cellPause   = 20 * time.Millisecond // between two jobs of a caller
	latePause   = 10 * time.Millisecond // between two looks for instances that are shutting down
	lateCalls   = 16                    // of late work in progress; more would grow without limit when processors are short
	markerPause = 60 * time.Millisecond // between two changes of the configuration
)

// markerTeam is the resource that the operator of a cell changes.
const markerTeam = "marker"

// startWork starts callers, an operator and a watcher, which go on until ctx ends.
func (ce *cellRun) startWork() {
	for i := range cellCallers {
		cw := &callerWork{ce: ce, stream: uint64(i)}
		ce.work.Go(cw.run)
	}
	ce.work.Go((&lateWork{ce: ce}).run)
	ce.work.Go((&operatorWork{ce: ce}).run)
	ce.work.Go((&watchWork{ce: ce}).run)
}

// mint gets a key and notes it.
func (ce *cellRun) mint(ctx context.Context, ca *Caller, it *Instance, repeatable bool) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, callWithin)
	defer cancel()
	keys, err := ca.Mint(ctx, it, 1, repeatable)
	if err != nil {
		return "", err
	}
	ce.mu.Lock()
	ce.keys = append(ce.keys, cellKey{key: keys[0], repeatable: repeatable, minter: it.Name})
	ce.mu.Unlock()
	return keys[0], nil
}

func (ce *cellRun) job(key string, repeatable bool) lovageapi.JobRequest {
	return NewJob(key, repeatable, cellTasks, cellRunTime, time.Now().Add(recoverWithin/3))
}

// callerWork is a caller that submits each key at two instances at once and then again at a third.
type callerWork struct {
	ce     *cellRun
	stream uint64
}

func (cw *callerWork) run() {
	ce := cw.ce
	rng := ce.rng(cw.stream)
	ca := ce.de.NewCaller()
	for n := 0; ce.ctx.Err() == nil; n++ {
		running := ce.de.Running()
		if len(running) == 0 {
			_ = pauseFor(ce.ctx, cellPause)
			continue
		}
		minter := running[0] // the first instance while it runs, so that its keys are always in use
		if rng.IntN(3) == 0 {
			minter = running[rng.IntN(len(running))]
		}
		repeatable := n%4 == 3
		key, err := ce.mint(ce.ctx, ca, minter, repeatable)
		if err != nil {
			_ = pauseFor(ce.ctx, cellPause)
			continue
		}
		jo := ce.job(key, repeatable)
		var both sync.WaitGroup
		for _, it := range []*Instance{minter, running[rng.IntN(len(running))]} {
			both.Go(func() { ce.submit(ca, it, jo) })
		}
		both.Wait()
		ce.submit(ca, running[rng.IntN(len(running))], jo)
		_ = pauseFor(ce.ctx, cellPause)
	}
}

// submit submits without regard to the end of the work, so that no answer is lost that a check could use.
func (ce *cellRun) submit(ca *Caller, it *Instance, jo lovageapi.JobRequest) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ce.ctx), callWithin)
	defer cancel()
	_, _ = ca.Submit(ctx, it, jo) // the record is judged
}

// lateWork is a caller whose balancer does not know yet that an instance is shutting down.
type lateWork struct{ ce *cellRun }

func (lw *lateWork) run() {
	ce := lw.ce
	ca := ce.de.NewCaller()
	var late sync.WaitGroup
	defer late.Wait()
	places := make(chan struct{}, lateCalls)
	for n := 0; pauseFor(ce.ctx, latePause) == nil; n++ {
		for _, it := range ce.de.Instances() {
			running := ce.de.Running()
			if !it.stopping.Load() || it.ended() || len(running) == 0 {
				continue
			}
			select {
			case places <- struct{}{}:
			default:
				continue
			}
			late.Go(func() {
				defer func() { <-places }()
				repeatable := n%2 == 1
				key, err := ce.mint(ce.ctx, ca, running[n%len(running)], repeatable)
				if err == nil {
					ce.submit(ca, it, ce.job(key, repeatable))
				}
			})
		}
	}
}

// operatorWork is an operator that changes one resource again and again, at one instance after the other.
type operatorWork struct{ ce *cellRun }

func (ow *operatorWork) run() {
	for n := 1; ow.ce.ctx.Err() == nil; n++ {
		ctx, cancel := context.WithTimeout(ow.ce.ctx, callWithin)
		ow.ce.putMarker(ctx, n%900+1)
		cancel()
		_ = pauseFor(ow.ce.ctx, markerPause)
	}
}

// putMarker replaces the marker at one of the running instances. It reports whether one of them accepted the change.
func (ce *cellRun) putMarker(ctx context.Context, weight int) (revision int64, accepted bool) {
	op := ce.de.NewOperator()
	running := ce.de.Running()
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

// watchWork is a watcher at the first instance.
type watchWork struct{ ce *cellRun }

func (ww *watchWork) run() {
	ce := ww.ce
	op := ce.de.NewOperator()
	for ce.ctx.Err() == nil {
		it := ce.de.Instance(firstName)
		if li, err := op.Read(ce.ctx, it); err == nil {
			_ = op.Watch(ce.ctx, it, li.Revision, func() { ce.stepReached(it, stepWatch) }) // the record is judged
		}
		_ = pauseFor(ce.ctx, pollEvery)
	}
}
