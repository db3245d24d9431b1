package lovagetrial

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"lovagestack/lovagefake"
)

// HistoryFault is a fault of a HistoryTrial.
type HistoryFault string

// Faults of a HistoryTrial.
const (
	HistoryKill               HistoryFault = "kill"     // and replace after the fault's length
	HistoryShutDown           HistoryFault = "shutDown" // gracefully, and replace
	HistoryPause              HistoryFault = "pause"
	HistoryIsolate            HistoryFault = "isolate"
	HistorySilence            HistoryFault = "silence"   // existing connections only
	HistoryPartition          HistoryFault = "partition" // a data centre from the others and the platform
	HistoryPlatformDown       HistoryFault = "platformDown"
	HistoryLoseReplies        HistoryFault = "loseReplies" // of writes to the platform, after their effect
	HistoryDelayCommits       HistoryFault = "delayCommits"
	HistoryWorkerFails        HistoryFault = "workerFails"
	HistoryWorkerCloses       HistoryFault = "workerCloses" // connections, in the middle of a reply
	HistoryWorkerClosesReused HistoryFault = "workerClosesReused"
)

// Faults of one lane follow each other; the lanes run at the same time, so that faults happen in pairs.
var (
	instanceFaults = []HistoryFault{HistoryKill, HistoryPause, HistoryKill, HistoryPause, HistoryShutDown}
	externalFaults = []HistoryFault{
		HistoryPartition, HistoryPlatformDown, HistoryLoseReplies, HistoryWorkerFails, HistoryIsolate, HistoryWorkerCloses,
		HistorySilence, HistoryDelayCommits, HistoryWorkerClosesReused,
	}
)

// PlannedFault is a fault at a time after the start of the run.
type PlannedFault struct {
	Kind     HistoryFault
	Start    time.Duration
	Duration time.Duration
	Target   int // chooses the instance, data centre or worker
}

// String describes the fault as it can be written in a test.
func (pf PlannedFault) String() string {
	return fmt.Sprintf("%s of target %d at %s for %s", pf.Kind, pf.Target, pf.Start, pf.Duration)
}

// planFaults draws the faults of a run. Faults last up to 1.5 s, which is past the lease of 0.6 s of ShortTiming and
// past the second after which a replica takes over.
func planFaults(seed uint64, runDuration time.Duration) []PlannedFault {
	rng := rand.New(rand.NewPCG(seed, 0))
	var out []PlannedFault
	for _, kinds := range [][]HistoryFault{instanceFaults, externalFaults} {
		order := rng.Perm(len(kinds))
		start := time.Duration(200+rng.IntN(400)) * time.Millisecond
		for i := 0; start < runDuration; i++ {
			pf := PlannedFault{
				Kind: kinds[order[i%len(kinds)]], Start: start, Target: rng.IntN(1000),
				Duration: time.Duration(300+rng.IntN(1200)) * time.Millisecond,
			}
			out = append(out, pf)
			start += pf.Duration + time.Duration(100+rng.IntN(400))*time.Millisecond
		}
	}
	slices.SortStableFunc(out, func(a, b PlannedFault) int { return cmp.Compare(a.Start, b.Start) })
	return out
}

// faultLog holds what was done.
type faultLog struct {
	mu   sync.Mutex
	text strings.Builder
}

func (fl *faultLog) add(runStart time.Time, format string, args ...any) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fmt.Fprintf(&fl.text, "%s (%s) %s\n", time.Now().Format("05.000"), time.Since(runStart).Round(time.Millisecond),
		fmt.Sprintf(format, args...))
}

func (fl *faultLog) String() string {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.text.String()
}

// runFaults runs the planned faults to their end.
func (ht *HistoryTrial) runFaults(ctx context.Context, runStart time.Time) error {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var faultErrs error
	for _, pf := range ht.Faults {
		wg.Go(func() {
			if pauseFor(ctx, time.Until(runStart.Add(pf.Start))) != nil {
				return
			}
			ht.faultLog.add(runStart, "begin %s", pf)
			err := ht.injectFault(ctx, pf)
			ht.faultLog.add(runStart, "end %s: %v", pf, err)
			mu.Lock()
			defer mu.Unlock()
			faultErrs = errors.CombineErrors(faultErrs, errors.Wrapf(err, "%s", pf))
		})
	}
	wg.Wait()
	return faultErrs
}

func (ht *HistoryTrial) injectFault(ctx context.Context, pf PlannedFault) error {
	de := ht.Deployment
	its := de.Instances()
	it := its[pf.Target%len(its)]
	wait := func() { _ = pauseFor(ctx, pf.Duration) }
	switch pf.Kind {
	case HistoryKill, HistoryShutDown:
		return ht.replaceProcess(it, pf, wait)
	case HistoryPause:
		it.Pause()
		wait()
		it.Resume()
	case HistoryIsolate:
		de.Isolate(it, true)
		wait()
		de.Isolate(it, false)
	case HistorySilence:
		de.Silence(it)
	case HistoryPartition:
		dc := de.options.DataCentres[pf.Target%len(de.options.DataCentres)].Name
		de.Partition(dc, true)
		wait()
		de.Partition(dc, false)
	case HistoryPlatformDown:
		ht.withPlatformFaults(lovagefake.PlatformFaults{Down: true}, wait)
	case HistoryLoseReplies:
		ht.withPlatformFaults(lovagefake.PlatformFaults{LoseReplies: 3 + pf.Target%10}, wait)
	case HistoryDelayCommits:
		ht.withPlatformFaults(lovagefake.PlatformFaults{
			DelayCommits: 3 + pf.Target%10, CommitDelay: lovagefake.Duration(pf.Duration / 2),
		}, wait)
	case HistoryWorkerFails:
		ht.withWorkerFaults(pf, lovagefake.WorkerFaults{FailEverything: true}, wait)
	case HistoryWorkerCloses:
		ht.withWorkerFaults(pf, lovagefake.WorkerFaults{CloseInReply: true}, wait)
	case HistoryWorkerClosesReused:
		ht.withWorkerFaults(pf, lovagefake.WorkerFaults{CloseReusedAtByte: 1 + pf.Target%300}, wait)
	default:
		return errors.Newf("there is no fault %q", pf.Kind)
	}
	return nil
}

// replaceProcess ends a process and starts another one of the same name, unless another fault is doing that.
func (ht *HistoryTrial) replaceProcess(it *Instance, pf PlannedFault, wait func()) error {
	if !it.Running() {
		return nil
	}
	if pf.Kind == HistoryKill {
		it.Kill()
	} else if _, err := it.ShutDown(); err != nil {
		return err
	}
	wait()
	_, err := it.Restart()
	return err
}

func (ht *HistoryTrial) withPlatformFaults(faults lovagefake.PlatformFaults, wait func()) {
	ht.Deployment.platform.SetFaults(faults)
	wait()
	ht.Deployment.platform.SetFaults(lovagefake.PlatformFaults{})
}

func (ht *HistoryTrial) withWorkerFaults(pf PlannedFault, faults lovagefake.WorkerFaults, wait func()) {
	wo := ht.Deployment.workers[pf.Target%len(ht.Deployment.workers)]
	wo.SetFaults(faults)
	wait()
	wo.SetFaults(lovagefake.WorkerFaults{})
}
