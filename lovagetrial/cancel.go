package lovagetrial

import (
	"context"
	"strings"
	"sync"
	"time"

	"lovagestack/lovagejob"
)

// Limits of the cancellation waves in a cell. A wave has more tasks than the workers have slots, so that jobs are
// cancelled while they wait, while they run and while their requests are on the way to workers.
const (
	jobsPerWave    = 12
	maxCancelDelay = 25 * time.Millisecond // most time from submission to cancellation; a task runs 20 to 40 ms
)

// startAfterCancelLimit is how long after the answer "cancelled" a worker may still start a task whose request was on
// the way. The answer counts this task as started. Links in a cell delay a request by up to 60 ms; the rest is for
// goroutines that wait for a processor.
const startAfterCancelLimit = time.Second

// runCancelWaves submits waves of jobs for faultDuration, and cancels each job at a random instance. The keys come from
// the given instance or, if that has ended, from another one.
func (run *cellRun) runCancelWaves(it *Instance) {
	ctx, cancel := context.WithTimeout(run.ctx, faultDuration)
	defer cancel()
	ca, rng := run.de.NewCaller(), run.newRand(cancelWaveStream)
	for n := 0; ctx.Err() == nil; n++ {
		running := run.de.Running()
		if len(running) == 0 {
			_ = pauseFor(ctx, callerPause)
			continue
		}
		if !it.Running() {
			it = running[0]
		}
		repeatable := n%2 == 1
		var wave sync.WaitGroup
		for range jobsPerWave {
			key, err := run.mintKey(ctx, ca, it, repeatable)
			if err != nil {
				break
			}
			submitAt, cancelAt := running[rng.IntN(len(running))], running[rng.IntN(len(running))]
			cancelDelay := time.Duration(rng.Int64N(int64(maxCancelDelay)))
			wave.Go(func() { run.submit(ca, submitAt, run.newJob(key, repeatable)) })
			wave.Go(func() {
				_ = pauseFor(ctx, cancelDelay)
				cancelCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cellCallTimeout)
				defer cancel()
				_, _ = ca.Cancel(cancelCtx, cancelAt, key) // recorded for Check
			})
		}
		wave.Wait()
		_ = pauseFor(ctx, pollInterval)
	}
}

// checkCancelled checks each answer "cancelled": no more tasks ever started than the answer says, and none later than
// startAfterCancelLimit after it. This extends invariant 4: if the answer is "not run", no task started.
func (ch *checker) checkCancelled(startedByKey map[string]int) {
	lastStart := map[string]time.Time{}
	for _, of := range ch.ev.Offers {
		if key, _, ok := strings.Cut(of.Task, "/"); ok && !of.Refused && of.At.After(lastStart[key]) {
			lastStart[key] = of.At
		}
	}
	for i := range ch.ev.Calls {
		cr := &ch.ev.Calls[i]
		if cr.Err != nil || cr.Answer.Outcome != lovagejob.Cancelled {
			continue
		}
		if n := startedByKey[cr.Key]; n > cr.Answer.Started {
			ch.addViolation(4, "%d tasks were started, contrary to the answer: %s", n, cr)
		}
		if at := lastStart[cr.Key]; at.After(cr.Returned.Add(startAfterCancelLimit)) {
			ch.addViolation(4, "a task was started at %s, contrary to the answer: %s", formatSeconds(at), cr)
		}
	}
}
