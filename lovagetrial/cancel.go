package lovagetrial

import (
	"context"
	"strings"
	"sync"
	"time"

	"lovagestack/lovagejob"
)

// Sizes of the waves of cancellations in a cell. A wave has more tasks than the workers have slots, so that jobs are
// cancelled while they wait, while they run and while their requests are on the way.
const (
	jobsPerWave    = 12
	maxCancelDelay = 25 * time.Millisecond // the longest time from the submission to the cancellation; a task runs 20 to 40 ms
)

// startAfterCancelLimit is the time after the answer "cancelled" in which a task that the answer counts as started may still
// begin to run, because its request was on the way to the worker. Links in a cell delay a request by up to 60 ms; the
// rest is for goroutines that wait for a processor.
const startAfterCancelLimit = time.Second

// runCancelWaves submits wave after wave of jobs and cancels each at any instance.
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
				_, _ = ca.Cancel(cancelCtx, cancelAt, key) // the record is judged
			})
		}
		wave.Wait()
		_ = pauseFor(ctx, pollInterval)
	}
}

// checkCancelled judges that an answer "cancelled" is true: no more tasks were ever started than it says, and those
// were started by a bound after it. It belongs to invariant 4, whose "not run" is the case of no task.
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
			ch.addViolation(4, "%d tasks were started although: %s", n, cr)
		}
		if at := lastStart[cr.Key]; at.After(cr.Returned.Add(startAfterCancelLimit)) {
			ch.addViolation(4, "a task was started at %s although: %s", formatSeconds(at), cr)
		}
	}
}
