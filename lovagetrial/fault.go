package lovagetrial

import (
	"context"
	"time"

	"lovagestack/lovagefake"
	"lovagestack/lovageresource"
)

// Fault is a fault of the matrix.
type Fault string

// Faults, as listed in docs/design.md. The instance that reached the step is the one that a fault of a process or of
// its links hits.
const (
	FaultPause           Fault = "pause"
	FaultCut             Fault = "cut"              // all links, also new connections
	FaultSilent          Fault = "silentConnection" // existing connections only
	FaultSlowStore       Fault = "slowStore"
	FaultStoreDown       Fault = "storeDown"
	FaultReplyLost       Fault = "replyLostAfterEffect" // of the store and of workers
	FaultLateReply       Fault = "lateReply"            // of workers and peers; commits land late
	FaultCrossedReply    Fault = "crossedReply"         // of workers
	FaultWorkerFailsAll  Fault = "workerFailsEverything"
	FaultRacingOperators Fault = "racingOperators"
	FaultKill            Fault = "kill"
)

// Faults returns all faults. Kill is the last, because nothing else can happen to a process that was killed.
func Faults() []Fault {
	return []Fault{
		FaultPause, FaultCut, FaultSilent, FaultSlowStore, FaultStoreDown, FaultReplyLost, FaultLateReply,
		FaultCrossedReply, FaultWorkerFailsAll, FaultRacingOperators, FaultKill,
	}
}

// Sizes of the faults, in relation to ShortTiming.
const (
	faultTime   = 900 * time.Millisecond // longer than a lease and than the time until a peer counts as gone
	slowStore   = 300 * time.Millisecond // below the platform timeout, so that requests succeed late
	lateCommits = 4                      // commits that land late
	lateBy      = 700 * time.Millisecond // above the platform timeout, so that the writer has begun to try again
	lateReply   = 300 * time.Millisecond // of workers
	linkDelay   = 60 * time.Millisecond  // one way
)

// NotApplicable returns why faults cannot occur together, empty if they can. Each single fault can occur at every step,
// because the work of a cell uses all links all the time.
func NotApplicable(faults ...Fault) string {
	has := map[Fault]bool{}
	for _, fa := range faults {
		has[fa] = true
	}
	switch {
	case has[FaultStoreDown] && has[FaultSlowStore]:
		return "a store that is down answers nothing, so it cannot answer slowly"
	case has[FaultReplyLost] && has[FaultCrossedReply]:
		return "a worker's reply that is lost cannot be that of another request"
	case has[FaultCut] && has[FaultSilent]:
		return "a connection that is cut is not silent"
	}
	return ""
}

// begin starts a fault at an instance. It does not block, because it may be called on the control loop.
func (ce *cellRun) begin(fa Fault, it *Instance) {
	de := ce.de
	switch fa {
	case FaultKill:
		it.Kill()
	case FaultPause:
		it.Pause()
	case FaultCut:
		de.Isolate(it, true)
	case FaultSilent:
		de.Silence(it)
	case FaultSlowStore:
		ce.platform(func(pf *lovagefake.PlatformFaults) { pf.Slow = lovagefake.Duration(slowStore) })
	case FaultStoreDown:
		ce.platform(func(pf *lovagefake.PlatformFaults) { pf.Down = true })
	case FaultReplyLost:
		ce.platform(func(pf *lovagefake.PlatformFaults) { pf.LoseReplies = -1 })
		ce.workers(func(wf *lovagefake.WorkerFaults) { wf.CloseInReply = true })
	case FaultLateReply:
		ce.platform(func(pf *lovagefake.PlatformFaults) {
			pf.DelayCommits, pf.DelayBy = lateCommits, lovagefake.Duration(lateBy)
		})
		ce.workers(func(wf *lovagefake.WorkerFaults) { wf.LateReply = lovagefake.Duration(lateReply) })
		de.Delay(it, linkDelay)
	case FaultCrossedReply:
		ce.workers(func(wf *lovagefake.WorkerFaults) { wf.CrossReplies = true })
	case FaultWorkerFailsAll:
		ce.workers(func(wf *lovagefake.WorkerFaults) { wf.FailEverything = true })
	case FaultRacingOperators:
		ce.racing.Go(ce.race)
	}
}

// end heals everything but processes that have ended.
func (ce *cellRun) end(it *Instance) {
	de := ce.de
	it.Resume()
	de.Isolate(it, false)
	de.Delay(it, 0)
	de.platform.SetFaults(lovagefake.PlatformFaults{})
	for _, wo := range de.workers {
		wo.SetFaults(lovagefake.WorkerFaults{})
	}
	ce.racing.Wait()
}

func (ce *cellRun) platform(change func(pf *lovagefake.PlatformFaults)) {
	pf := ce.de.platform.Faults()
	change(&pf)
	ce.de.platform.SetFaults(pf)
}

func (ce *cellRun) workers(change func(wf *lovagefake.WorkerFaults)) {
	for _, wo := range ce.de.workers {
		wf := wo.Faults()
		change(&wf)
		wo.SetFaults(wf)
	}
}

// race has one operator per running instance replace the same revision of one resource, several times.
func (ce *cellRun) race() {
	ctx, cancel := context.WithTimeout(ce.ctx, faultTime)
	defer cancel()
	op := ce.de.NewOperator()
	for round := 1; ctx.Err() == nil; round++ {
		base := int64(0)
		for _, it := range ce.de.Running() {
			if li, err := op.Read(ctx, it); err == nil {
				base = max(base, revisionOf(li.Resources, lovageresource.KindTeam, raceTeam))
			}
		}
		done := make(chan struct{})
		running := ce.de.Running()
		for i, it := range running {
			go func() {
				defer func() { done <- struct{}{} }()
				_, _ = op.Put(ctx, it, lovageresource.Resource{
					Kind: lovageresource.KindTeam, Name: raceTeam, Revision: base,
					Spec: lovageresource.Team{Weight: float64(round%900+1) + float64(i)/10},
				})
			}()
		}
		for range running {
			<-done
		}
	}
}

// raceTeam is the resource that racing operators change.
const raceTeam = "race"

func revisionOf(list []lovageresource.Resource, kind lovageresource.Kind, name string) int64 {
	for i := range list {
		if list[i].Kind == kind && list[i].Name == name {
			return list[i].Revision
		}
	}
	return 0
}
