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
	HistoryKill               HistoryFault = "kill"     // restarts the instance when the fault ends
	HistoryShutDown           HistoryFault = "shutDown" // graceful; restarts the instance when the fault ends
	HistoryPause              HistoryFault = "pause"
	HistoryIsolate            HistoryFault = "isolate"
	HistorySilence            HistoryFault = "silence"   // drops the bytes of an instance's existing connections
	HistoryPartition          HistoryFault = "partition" // cuts a data centre off from the others and the platform
	HistoryPlatformDown       HistoryFault = "platformDown"
	HistoryLoseReplies        HistoryFault = "loseReplies" // the platform executes writes without a reply
	HistoryDelayCommits       HistoryFault = "delayCommits"
	HistoryWorkerFails        HistoryFault = "workerFails"
	HistoryWorkerCloses       HistoryFault = "workerCloses" // closes connections in the middle of a reply
	HistoryWorkerClosesReused HistoryFault = "workerClosesReused"
)

// Faults of one list follow each other. Both lists run at the same time, so that faults occur in pairs.
var (
	instanceFaults = []HistoryFault{HistoryKill, HistoryPause, HistoryKill, HistoryPause, HistoryShutDown}
	externalFaults = []HistoryFault{
		HistoryPartition, HistoryPlatformDown, HistoryLoseReplies, HistoryWorkerFails, HistoryIsolate, HistoryWorkerCloses,
		HistorySilence, HistoryDelayCommits, HistoryWorkerClosesReused,
	}
)

// PlannedFault is one fault of a run.
type PlannedFault struct {
	Kind     HistoryFault
	Start    time.Duration // time from the start of the run
	Duration time.Duration
	Target   int // random number that selects the instance, data centre or worker, or a number of replies, commits or bytes
}

// String describes all fields, so that a test can repeat the fault.
func (pf PlannedFault) String() string {
	return fmt.Sprintf("%s of target %d at %s for %s", pf.Kind, pf.Target, pf.Start, pf.Duration)
}

// planFaults draws the faults of a run. Faults last up to 1.5 s, longer than the lease of 0.6 s of ShortTiming and the
// second after which a replica takes over.
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

// runFaults runs the planned faults until all have ended.
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
	instances := de.Instances()
	it := instances[pf.Target%len(instances)]
	awaitFaultEnd := func() { _ = pauseFor(ctx, pf.Duration) }
	switch pf.Kind {
	case HistoryKill, HistoryShutDown:
		return ht.replaceProcess(it, pf, awaitFaultEnd)
	case HistoryPause:
		it.Pause()
		awaitFaultEnd()
		it.Resume()
	case HistoryIsolate:
		de.Isolate(it, true)
		awaitFaultEnd()
		de.Isolate(it, false)
	case HistorySilence:
		de.Silence(it)
	case HistoryPartition:
		dc := de.options.DataCentres[pf.Target%len(de.options.DataCentres)].Name
		de.Partition(dc, true)
		awaitFaultEnd()
		de.Partition(dc, false)
	case HistoryPlatformDown:
		ht.withPlatformFaults(lovagefake.PlatformFaults{Down: true}, awaitFaultEnd)
	case HistoryLoseReplies:
		ht.withPlatformFaults(lovagefake.PlatformFaults{LoseReplies: 3 + pf.Target%10}, awaitFaultEnd)
	case HistoryDelayCommits:
		ht.withPlatformFaults(lovagefake.PlatformFaults{
			DelayCommits: 3 + pf.Target%10, CommitDelay: lovagefake.Duration(pf.Duration / 2),
		}, awaitFaultEnd)
	case HistoryWorkerFails:
		ht.withWorkerFaults(pf, lovagefake.WorkerFaults{FailEverything: true}, awaitFaultEnd)
	case HistoryWorkerCloses:
		ht.withWorkerFaults(pf, lovagefake.WorkerFaults{CloseInReply: true}, awaitFaultEnd)
	case HistoryWorkerClosesReused:
		ht.withWorkerFaults(pf, lovagefake.WorkerFaults{CloseReusedAtByte: 1 + pf.Target%300}, awaitFaultEnd)
	default:
		return errors.Newf("there is no fault %q", pf.Kind)
	}
	return nil
}

// replaceProcess ends a process and restarts it. It does nothing if another fault has already ended the process.
func (ht *HistoryTrial) replaceProcess(it *Instance, pf PlannedFault, awaitFaultEnd func()) error {
	if !it.Running() {
		return nil
	}
	if pf.Kind == HistoryKill {
		it.Kill()
	} else if _, err := it.ShutDown(); err != nil {
		return err
	}
	awaitFaultEnd()
	_, err := it.Restart()
	return err
}

func (ht *HistoryTrial) withPlatformFaults(faults lovagefake.PlatformFaults, awaitFaultEnd func()) {
	ht.Deployment.platform.SetFaults(faults)
	awaitFaultEnd()
	ht.Deployment.platform.SetFaults(lovagefake.PlatformFaults{})
}

func (ht *HistoryTrial) withWorkerFaults(pf PlannedFault, faults lovagefake.WorkerFaults, awaitFaultEnd func()) {
	wo := ht.Deployment.workers[pf.Target%len(ht.Deployment.workers)]
	wo.SetFaults(faults)
	awaitFaultEnd()
	wo.SetFaults(lovagefake.WorkerFaults{})
}
