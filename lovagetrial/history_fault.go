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
	HistoryKill         HistoryFault = "kill"     // and replace after the fault's length
	HistoryShutDown     HistoryFault = "shutDown" // gracefully, and replace
	HistoryPause        HistoryFault = "pause"
	HistoryIsolate      HistoryFault = "isolate"
	HistorySilence      HistoryFault = "silence"   // existing connections only
	HistoryPartition    HistoryFault = "partition" // a data centre from the others and the platform
	HistoryPlatformDown HistoryFault = "platformDown"
	HistoryLoseReplies  HistoryFault = "loseReplies" // of writes to the platform, after their effect
	HistoryDelayCommits HistoryFault = "delayCommits"
	HistoryWorkerFails  HistoryFault = "workerFails"
	HistoryWorkerCloses HistoryFault = "workerCloses" // connections, in the middle of a reply
	HistoryWorkerReused HistoryFault = "workerClosesReused"
)

// Faults of one lane follow each other; the lanes run at the same time, so that faults happen in pairs.
var (
	instanceFaults = []HistoryFault{HistoryKill, HistoryPause, HistoryKill, HistoryPause, HistoryShutDown}
	outerFaults    = []HistoryFault{
		HistoryPartition, HistoryPlatformDown, HistoryLoseReplies, HistoryWorkerFails, HistoryIsolate, HistoryWorkerCloses,
		HistorySilence, HistoryDelayCommits, HistoryWorkerReused,
	}
)

// PlannedFault is a fault at a time after the start of the run.
type PlannedFault struct {
	Kind   HistoryFault
	At     time.Duration
	Length time.Duration
	Target int // chooses the instance, data centre or worker
}

// String describes the fault as it can be written in a test.
func (pf PlannedFault) String() string {
	return fmt.Sprintf("%s of target %d at %s for %s", pf.Kind, pf.Target, pf.At, pf.Length)
}

// planFaults draws the faults of a run. Faults last up to 1.5 s, which is past the lease of 0.6 s of ShortTiming and
// past the second after which a replica takes over.
func planFaults(seed uint64, length time.Duration) []PlannedFault {
	rng := rand.New(rand.NewPCG(seed, 0))
	var out []PlannedFault
	for _, lane := range [][]HistoryFault{instanceFaults, outerFaults} {
		order := rng.Perm(len(lane))
		at := time.Duration(200+rng.IntN(400)) * time.Millisecond
		for i := 0; at < length; i++ {
			pf := PlannedFault{
				Kind: lane[order[i%len(lane)]], At: at, Target: rng.IntN(1000),
				Length: time.Duration(300+rng.IntN(1200)) * time.Millisecond,
			}
			out = append(out, pf)
			at += pf.Length + time.Duration(100+rng.IntN(400))*time.Millisecond
		}
	}
	slices.SortStableFunc(out, func(a, b PlannedFault) int { return cmp.Compare(a.At, b.At) })
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
			if pauseFor(ctx, time.Until(began.Add(pf.At))) != nil {
				return
			}
			ht.log.add(began, "begin %s", pf)
			err := ht.fault(ctx, pf)
			ht.log.add(began, "end %s: %v", pf, err)
			mu.Lock()
			defer mu.Unlock()
			all = errors.CombineErrors(all, errors.Wrapf(err, "%s", pf))
		})
	}
	wg.Wait()
	return all
}

func (ht *HistoryTrial) fault(ctx context.Context, pf PlannedFault) error {
	de := ht.Deployment
	its := de.Instances()
	it := its[pf.Target%len(its)]
	length := func() { _ = pauseFor(ctx, pf.Length) }
	switch pf.Kind {
	case HistoryKill, HistoryShutDown:
		return ht.replace(it, pf, length)
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
		dc := de.op.DataCentres[pf.Target%len(de.op.DataCentres)].Name
		de.Partition(dc, true)
		length()
		de.Partition(dc, false)
	case HistoryPlatformDown:
		ht.platform(lovagefake.PlatformFaults{Down: true}, length)
	case HistoryLoseReplies:
		ht.platform(lovagefake.PlatformFaults{LoseReplies: 3 + pf.Target%10}, length)
	case HistoryDelayCommits:
		ht.platform(lovagefake.PlatformFaults{
			DelayCommits: 3 + pf.Target%10, CommitDelay: lovagefake.Duration(pf.Length / 2),
		}, length)
	case HistoryWorkerFails:
		ht.worker(pf, lovagefake.WorkerFaults{FailEverything: true}, length)
	case HistoryWorkerCloses:
		ht.worker(pf, lovagefake.WorkerFaults{CloseInReply: true}, length)
	case HistoryWorkerReused:
		ht.worker(pf, lovagefake.WorkerFaults{CloseReusedAtByte: 1 + pf.Target%300}, length)
	default:
		return errors.Newf("there is no fault %q", pf.Kind)
	}
	return nil
}

// replace ends a process and starts another one of the same name, unless another fault is doing that.
func (ht *HistoryTrial) replace(it *Instance, pf PlannedFault, length func()) error {
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

func (ht *HistoryTrial) platform(fa lovagefake.PlatformFaults, length func()) {
	ht.Deployment.platform.SetFaults(fa)
	length()
	ht.Deployment.platform.SetFaults(lovagefake.PlatformFaults{})
}

func (ht *HistoryTrial) worker(pf PlannedFault, fa lovagefake.WorkerFaults, length func()) {
	wo := ht.Deployment.workers[pf.Target%len(ht.Deployment.workers)]
	wo.SetFaults(fa)
	length()
	wo.SetFaults(lovagefake.WorkerFaults{})
}
