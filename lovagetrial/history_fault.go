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
func planFaults(seed uint64, length time.Duration) []PlannedFault {
	rng := rand.New(rand.NewPCG(seed, 0))
	var out []PlannedFault
	for _, lane := range [][]HistoryFault{instanceFaults, externalFaults} {
		order := rng.Perm(len(lane))
		at := time.Duration(200+rng.IntN(400)) * time.Millisecond
		for i := 0; at < length; i++ {
			pf := PlannedFault{
				Kind: lane[order[i%len(lane)]], Start: at, Target: rng.IntN(1000),
				Duration: time.Duration(300+rng.IntN(1200)) * time.Millisecond,
			}
			out = append(out, pf)
			at += pf.Duration + time.Duration(100+rng.IntN(400))*time.Millisecond
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

func (fl *faultLog) add(began time.Time, format string, args ...any) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fmt.Fprintf(&fl.text, "%s (%s) %s\n", time.Now().Format("05.000"), time.Since(began).Round(time.Millisecond),
		fmt.Sprintf(format, args...))
}

func (fl *faultLog) String() string {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.text.String()
}

// runFaults runs the planned faults to their end.
func (ht *HistoryTrial) runFaults(ctx context.Context, began time.Time) error {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var all error
	for _, pf := range ht.Faults {
		wg.Go(func() {
			if pauseFor(ctx, time.Until(began.Add(pf.Start))) != nil {
				return
			}
			ht.faultLog.add(began, "begin %s", pf)
			err := ht.injectFault(ctx, pf)
			ht.faultLog.add(began, "end %s: %v", pf, err)
			mu.Lock()
			defer mu.Unlock()
			all = errors.CombineErrors(all, errors.Wrapf(err, "%s", pf))
		})
	}
	wg.Wait()
	return all
}

func (ht *HistoryTrial) injectFault(ctx context.Context, pf PlannedFault) error {
	de := ht.Deployment
	its := de.Instances()
	it := its[pf.Target%len(its)]
	length := func() { _ = pauseFor(ctx, pf.Duration) }
	switch pf.Kind {
	case HistoryKill, HistoryShutDown:
		return ht.replaceProcess(it, pf, length)
	case HistoryPause:
		it.Pause()
		length()
		it.Resume()
	case HistoryIsolate:
		de.Isolate(it, true)
		length()
		de.Isolate(it, false)
	case HistorySilence:
		de.Silence(it)
	case HistoryPartition:
		dc := de.options.DataCentres[pf.Target%len(de.options.DataCentres)].Name
		de.Partition(dc, true)
		length()
		de.Partition(dc, false)
	case HistoryPlatformDown:
		ht.withPlatformFaults(lovagefake.PlatformFaults{Down: true}, length)
	case HistoryLoseReplies:
		ht.withPlatformFaults(lovagefake.PlatformFaults{LoseReplies: 3 + pf.Target%10}, length)
	case HistoryDelayCommits:
		ht.withPlatformFaults(lovagefake.PlatformFaults{
			DelayCommits: 3 + pf.Target%10, CommitDelay: lovagefake.Duration(pf.Duration / 2),
		}, length)
	case HistoryWorkerFails:
		ht.withWorkerFaults(pf, lovagefake.WorkerFaults{FailEverything: true}, length)
	case HistoryWorkerCloses:
		ht.withWorkerFaults(pf, lovagefake.WorkerFaults{CloseInReply: true}, length)
	case HistoryWorkerClosesReused:
		ht.withWorkerFaults(pf, lovagefake.WorkerFaults{CloseReusedAtByte: 1 + pf.Target%300}, length)
	default:
		return errors.Newf("there is no fault %q", pf.Kind)
	}
	return nil
}

// replaceProcess ends a process and starts another one of the same name, unless another fault is doing that.
func (ht *HistoryTrial) replaceProcess(it *Instance, pf PlannedFault, length func()) error {
	if !it.Running() {
		return nil
	}
	if pf.Kind == HistoryKill {
		it.Kill()
	} else if _, err := it.ShutDown(); err != nil {
		return err
	}
	length()
	_, err := it.Restart()
	return err
}

func (ht *HistoryTrial) withPlatformFaults(fa lovagefake.PlatformFaults, length func()) {
	ht.Deployment.platform.SetFaults(fa)
	length()
	ht.Deployment.platform.SetFaults(lovagefake.PlatformFaults{})
}

func (ht *HistoryTrial) withWorkerFaults(pf PlannedFault, fa lovagefake.WorkerFaults, length func()) {
	wo := ht.Deployment.workers[pf.Target%len(ht.Deployment.workers)]
	wo.SetFaults(fa)
	length()
	wo.SetFaults(lovagefake.WorkerFaults{})
}
