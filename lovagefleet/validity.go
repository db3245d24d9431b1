package lovagefleet

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"lovagestack/lovageclock"
	"lovagestack/lovagemessage"
	"lovagestack/lovagepeer"
	"lovagestack/lovagepool"
)

// A caller that gets no answer sends its job again 1.3 s later, to any instance. By then no copy of the first sending may be
// able to start a task. Each hop bounds how long its permission to start lasts, by clocks that count suspensions:
//
//   - from the instance that got the job to an owner: maxForwardAge, checked when the owner's pool gets the job;
//   - from one owner to another that runs tasks for it: maxOffloadAge, checked likewise;
//   - at an owner: while the sender's confirmations (renewal.go) permit it, while the session with the sender lives, whose loss both
//     sides notice within sessionLossTimeout, and until the process pauses for maxPause;
//   - from an owner to a worker: the lease in the start, which the worker checks by its own clock.
const (
	// maxForwardAge leaves, with the error of the clocks' comparison (pingTimeout), 300 ms of the callers' 1.3 s.
	maxForwardAge = 600 * time.Millisecond
	// maxOffloadAge is the age at which the load report behind an offload expires. The sender starts the tasks elsewhere no
	// earlier than a lease's length after it has lost the answer.
	maxOffloadAge = lovagepool.MaxReportAge
	// maxPause is the longest time that loop may stand still without giving up what other instances have sent. The sender
	// notices the loss of its session, and its caller sends the job again, no earlier than 1.3 s after the pause began.
	maxPause = 800 * time.Millisecond
	// callerCheckTime is how long after a pause an instance waits, before it submits a job, to learn that the caller has
	// disconnected meanwhile. The request may have waited in the socket for the whole pause.
	callerCheckTime = 25 * time.Millisecond
)

// errPaused ends the sessions of an instance that did not run for maxPause.
var errPaused = errors.New("this instance was paused")

// handlePause gives up what other instances have sent before a pause of this process that has just been noticed: they may have
// started it elsewhere. Only loop calls it, before the pool decides on further starts.
func (no *Node) handlePause(now time.Time) {
	no.countEvent("paused")
	no.log.Warn("this instance was paused; the jobs of other instances are given up",
		zap.Duration("lengthMs", no.pauses.LastPause()))
	no.mesh.CloseSessions(errPaused) // so that nothing that arrived on them is accepted any more
	no.pool.CancelForeign(now, no.self.ID+"/")
	no.holdAfterPause(now, no.pauses.LastPause())
}

// minSuspension is the least difference by which the boot clock overtakes the steady clock that counts as a suspension of the machine.
const minSuspension = 20 * time.Millisecond

// handleSuspension moves the jobs' times by the length of a suspension of the machine, which the steady clock leaves out. Only loop
// calls it, before it handles events and before the pool decides on further starts.
func (no *Node) handleSuspension() {
	now := time.Now()
	ahead := lovageclock.Boot() - now.Sub(no.startedAt)
	if time.Since(now) >= minSuspension {
		return // this process did not run between the two readings; the next call compares again
	}
	if suspended := ahead - no.bootAhead; suspended >= minSuspension {
		no.log.Warn("the machine was suspended", zap.Duration("lengthMs", suspended))
		no.pool.AdvanceDeadlines(suspended)
		no.noteLateness(now, suspended)
		no.bootAhead = ahead
	}
}

// newAcceptCheck returns a function that says why a job that a peer has just sent must not be accepted at the time of its call, or
// "". Whether the message is too old is not known if the peer does not send its clock.
func newAcceptCheck(ctx context.Context, pl *lovagemessage.Place) func() string {
	expiry, known := lovagepeer.LocalTime(ctx, pl.GetSentMicros()) // before the job waits for loop
	if len(pl.GetLent()) > 0 {
		expiry += maxOffloadAge
	} else {
		expiry += maxForwardAge
	}
	return func() string {
		switch {
		case ctx.Err() != nil:
			return "the session with the sender is lost"
		case known && lovageclock.Boot() > expiry:
			return "the message was under way for too long"
		}
		return ""
	}
}

// awaitCallerCheck waits for callerCheckTime if this process was paused shortly before.
func (no *Node) awaitCallerCheck(ctx context.Context) {
	if no.pauses.PausedWithin(maxPause) {
		sleep(ctx, callerCheckTime)
	}
}
