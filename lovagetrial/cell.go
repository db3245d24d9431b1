package lovagetrial

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lovagestack/lovageentry"
	"lovagestack/lovagejob"
)

// Cell is one combination of a step and the faults that begin when it is reached.
type Cell struct {
	Step   StepCase
	Faults []Fault
	Later  []Stage // faults that begin at further steps, each after those before it
	Seed   uint64
	Log    *zap.Logger // nil logs nothing
}

// Stage is a step and the faults that begin when it is reached.
type Stage struct {
	Step   StepCase
	Faults []Fault
}

// String names the stage as step/fault+fault.
func (sg Stage) String() string {
	names := make([]string, len(sg.Faults))
	for i, fa := range sg.Faults {
		names[i] = string(fa)
	}
	return fmt.Sprintf("%s/%s", sg.Step.Step, strings.Join(names, "+"))
}

// String names the cell as step/fault+fault/seed, with ",step/fault" for each later stage.
func (ce Cell) String() string {
	names := make([]string, 0, len(ce.Later)+1)
	for _, sg := range ce.stages() {
		names = append(names, sg.String())
	}
	return fmt.Sprintf("%s/%d", strings.Join(names, ","), ce.Seed)
}

func (ce Cell) stages() []Stage { return append([]Stage{{ce.Step, ce.Faults}}, ce.Later...) }

func (ce Cell) has(faults ...Fault) bool {
	for _, sg := range ce.stages() {
		for _, fa := range faults {
			if slices.Contains(sg.Faults, fa) {
				return true
			}
		}
	}
	return false
}

// CellResult is what came of a cell.
type CellResult struct {
	Violations []Violation
	Problems   []string // the step was not reached, or the deployment did not recover
	Report     string   // of the deployment, if anything is wrong
	Calls      int      // requests of callers that were judged
	Took       time.Duration
}

// Wrong reports whether the cell shows a fault of the system or of itself.
func (cr *CellResult) Wrong() bool { return len(cr.Violations)+len(cr.Problems) > 0 }

// Bounds of a cell. They end cells that hang and do not judge speed.
const (
	reachWithin   = 20 * time.Second
	recoverWithin = 30 * time.Second // from the end of the work
	askWithin     = 90 * time.Second // for all questions about keys, whose number depends on the machine's speed
	callWithin    = 3 * time.Second  // after which a caller of a cell gives up and asks elsewhere
	prepareAfter  = 100 * time.Millisecond
	maxStageGap   = 400 * time.Millisecond // from a step to the wait for the next; below faultTime, so that faults overlap
)

// Streams of random numbers in a cell; those of the callers are their numbers.
const (
	injectStream = 1000 + iota
	cancelStream
)

// cellRun is a running cell.
type cellRun struct {
	Cell
	ctx     context.Context
	stop    context.CancelFunc // ends the work
	de      *Deployment
	reached chan *Instance // gets the instance that reached the step
	armed   atomic.Pointer[armedStage]
	work    sync.WaitGroup
	waves   sync.WaitGroup // operators that race and callers that cancel
	leaver  atomic.Int64   // index of the worker that leaves

	mu       sync.Mutex
	keys     []cellKey
	problems []string
	signs    []time.Time // when a worker said that it is leaving
	listed   time.Time   // when the list began to show it
}

// armedStage is the stage whose step is awaited.
type armedStage struct {
	Stage
	anywhere bool // the step counts at any instance
}

// cellKey is a key that the work of a cell has used.
type cellKey struct {
	key        string
	repeatable bool
	minter     string // name of the instance that gave it
}

// Run runs the cell in a deployment of its own: work begins, the step is reached, the faults begin and end, every
// instance completes a new job, every key is asked about at every instance, and the evidence is checked.
func (ce Cell) Run(ctx context.Context) CellResult {
	began := time.Now()
	cr := &cellRun{Cell: ce, reached: make(chan *Instance, 1)}
	cr.ctx, cr.stop = context.WithCancel(ctx)
	defer cr.stop()
	de, err := New(Options{
		DataCentres: []DataCentre{
			{Name: "kandla", Instances: 2, Speeds: []float64{1, 0.5}}, {Name: "navlakhi", Instances: 1, Speeds: []float64{1}},
		},
		Seed: ce.Seed, Log: ce.Log, Reached: cr.stepReached, Started: cr.taskStarted, Replied: cr.recordLeavingReply,
		CallerLinks: ce.has(FaultCallersCut, FaultCallersSilent),
	})
	if err != nil {
		return CellResult{Problems: []string{"the deployment does not start: " + err.Error()}}
	}
	defer de.Close()
	cr.de = de
	cr.startWork()
	cr.inject()
	cr.revive()
	cr.awaitLeaving()
	cr.stop()
	cr.work.Wait()
	// Recovery comes first: a bound that it shared with the questions would depend on the number of keys.
	cr.recover(ctx)
	cr.askEverywhere(ctx)
	ev := de.Evidence()
	res := CellResult{Violations: Check(ev), Problems: cr.problems, Calls: len(ev.Calls), Took: time.Since(began)}
	if res.Wrong() {
		res.Report = de.Report()
	}
	return res
}

func (ce *cellRun) problem(format string, args ...any) {
	ce.mu.Lock()
	defer ce.mu.Unlock()
	ce.problems = append(ce.problems, fmt.Sprintf(format, args...))
}

// inject waits for the step of each stage, and ends the faults after their time. If a later step is not reached during
// the faults before it, these end first.
func (ce *cellRun) inject() {
	_ = pauseFor(ce.ctx, prepareAfter)
	rng := ce.rng(injectStream)
	var hit []*Instance
	for i, sg := range ce.stages() {
		if i > 0 {
			_ = pauseFor(ce.ctx, time.Duration(rng.Int64N(int64(maxStageGap))))
		}
		ce.armed.Store(&armedStage{Stage: sg, anywhere: i > 0})
		if sg.Step.Prepare != nil {
			sg.Step.Prepare(ce.de)
		}
		it := ce.awaitStep(&hit)
		if it == nil {
			ce.armed.Store(nil)
			ce.problem("step %s was not reached within %s", sg.Step.Step, reachWithin)
			break
		}
		hit = append(hit, it)
	}
	_ = pauseFor(ce.ctx, faultTime)
	ce.end(hit)
}

// awaitStep returns the instance that reached the step, or nil. It ends the faults of earlier stages after their time.
func (ce *cellRun) awaitStep(hit *[]*Instance) *Instance {
	healing := time.NewTimer(faultTime)
	defer healing.Stop()
	limit := time.NewTimer(reachWithin)
	defer limit.Stop()
	for {
		select {
		case it := <-ce.reached:
			return it
		case <-healing.C:
			if len(*hit) > 0 {
				ce.end(*hit)
				ce.revive()
				*hit = nil
			}
		case <-limit.C:
			return nil
		}
	}
}

// stepReached begins the faults the first time that the step counts. It runs on the goroutine that takes the step.
func (ce *cellRun) stepReached(it *Instance, st lovageentry.Step) {
	as := ce.armed.Load()
	if as == nil || st != as.Step.Step || !as.anywhere && as.Step.Counts != nil && !as.Step.Counts(it) ||
		!ce.armed.CompareAndSwap(as, nil) {
		return
	}
	for _, fa := range as.Faults {
		ce.begin(fa, it)
	}
	ce.reached <- it
}

// taskStarted is the step at which a worker runs a task; the instance is the one that gave the task's key.
func (ce *cellRun) taskStarted(task string) {
	if as := ce.armed.Load(); as == nil || as.Step.Step != stepWorkerRuns {
		return
	}
	key, _, _ := strings.Cut(task, "/")
	ce.mu.Lock()
	minter := ""
	for _, ck := range ce.keys {
		if ck.key == key {
			minter = ck.minter
		}
	}
	ce.mu.Unlock()
	if it := ce.de.Instance(minter); it != nil {
		ce.stepReached(it, stepWorkerRuns)
	}
}

// revive starts every instance that has ended as a new process.
func (ce *cellRun) revive() {
	for _, it := range ce.de.Instances() {
		if it.Running() {
			continue
		}
		select {
		case <-it.done:
		case <-time.After(recoverWithin):
			ce.problem("%s did not end", it.ID())
			continue
		}
		if _, err := it.Restart(); err != nil {
			ce.problem("%s does not start again: %v", it.Name, err)
		}
	}
}

// askEverywhere asks every running instance about every key.
func (ce *cellRun) askEverywhere(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, askWithin)
	defer cancel()
	ca := ce.de.NewCaller()
	var asking sync.WaitGroup
	keys := ce.usedKeys()
	for _, it := range ce.de.Running() {
		asking.Go(func() {
			for i, ck := range keys {
				if ctx.Err() != nil {
					ce.problem("%s was asked about %d of %d keys within %s", it.ID(), i, len(keys), askWithin)
					return
				}
				cctx, cancel := context.WithTimeout(ctx, callWithin)
				_, _ = ca.Ask(cctx, it, ck.key, 0) // the record is judged
				cancel()
			}
		})
	}
	asking.Wait()
}

func (ce *cellRun) usedKeys() []cellKey {
	ce.mu.Lock()
	defer ce.mu.Unlock()
	return append([]cellKey(nil), ce.keys...)
}

// recover requires that each instance gives a key, that its job completes there, and that a change gets into force.
func (ce *cellRun) recover(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recoverWithin)
	defer cancel()
	ca := ce.de.NewCaller()
	for _, it := range ce.de.Running() {
		var last string
		for {
			key, err := ce.mint(ctx, ca, it, false)
			if err == nil {
				an, err := ca.SubmitUntilFinal(ctx, ce.job(key, false), it)
				last = fmt.Sprintf("%s: %s %s %v", key, an.Outcome, an.Reason, err)
				if an.Outcome == lovagejob.Complete {
					break
				}
			} else {
				last = err.Error()
			}
			if pauseFor(ctx, pollEvery) != nil {
				ce.problem("%s completes no new job after the faults: %s", it.ID(), last)
				break
			}
		}
	}
	for n := 1; ; n++ {
		if revision, ok := ce.putMarker(ctx, 1+n%900); ok {
			_ = ce.de.NewOperator().AwaitInForce(ctx, revision) // the record is judged
			return
		}
		if pauseFor(ctx, pollEvery) != nil {
			ce.problem("no change of the configuration is accepted within %s after the faults", recoverWithin)
			return
		}
	}
}

func (ce *cellRun) rng(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(ce.Seed, stream)) }
