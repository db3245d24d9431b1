package lovagefleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"lovagestack/lovagejob"
	"lovagestack/lovageplatform"
	"lovagestack/lovagepool"
)

// standIn is a set of workers in memory, the registry that lists them, and the store. It starts whatever it is told, as
// the users' workers do, and records what must never happen.
type standIn struct {
	*lovageplatform.Memory
	mu         sync.Mutex
	workers    map[string]*standInWorker
	running    map[string]int // runs of a task now
	starts     map[string]int // of a task, ever
	violations []string
	config     *Configuration
	cut        map[string]bool          // instances that do not reach the store
	readTime   time.Duration            // of the registered workers
	lateAnswer map[string]time.Duration // of the store to an instance's commits, which take effect at once
}

type standInWorker struct {
	RegisteredWorker
	fence   int64
	runs    map[string]*standInRun
	dead    map[string]int
	ends    []standInEnd
	nextEnd int64
	changed chan struct{}
	silent  bool // gets no calls
	mute    bool // does as told, and its answers are lost
	loses   int  // each call whose number this divides is lost, without effect; 0: none
	calls   int

	startsWhileDraining int
	refuses             bool // a cut refuses connections to it; what runs goes on
	began               time.Time
	rejected            int // calls with a fence that was passed
}

type standInEnd struct {
	number int64
	lovagepool.EndedRun
}

type standInRun struct {
	attempt int
	room    lovagejob.Resources
	expires int64
	over    bool
}

var errSilent = errors.New("no answer")

func newStandIn(dataCentres []string, each int) *standIn {
	si := &standIn{
		Memory: lovageplatform.NewMemory(), workers: map[string]*standInWorker{}, running: map[string]int{},
		starts: map[string]int{}, cut: map[string]bool{}, lateAnswer: map[string]time.Duration{},
		config: &Configuration{Version: 1, Routes: []Route{{
			Name: "checks", Host: "h", PathPrefix: "/c/", Service: "s", MaxAttempts: 2, SlackFactor: 1.6,
			TargetLatency: 60 * time.Millisecond, Timeout: 2 * time.Second,
		}}},
	}
	for _, dc := range dataCentres {
		for i := range each {
			id := fmt.Sprintf("%s-w%d", dc, i)
			si.workers[id] = &standInWorker{
				RegisteredWorker: RegisteredWorker{DataCentre: dc, Worker: lovagepool.Worker{
					ID: id, ProcessStart: 1, Address: "127.0.0.1:1", Service: "s", Kind: "a",
					Capacity: lovagejob.Resources{MilliCores: 32000, MemoryMB: 1000},
				}},
				runs: map[string]*standInRun{}, dead: map[string]int{}, changed: make(chan struct{}), began: time.Now(),
			}
		}
	}
	return si
}

// taskRoom and taskTime are of every task of the tests.
var taskRoom = lovagejob.Resources{MilliCores: 14000, MemoryMB: 10}

func (si *standIn) Workers(context.Context) ([]RegisteredWorker, error) {
	si.mu.Lock()
	defer si.mu.Unlock()
	var list []RegisteredWorker
	for _, wo := range si.workers {
		list = append(list, wo.RegisteredWorker)
	}
	return list, nil
}

func (si *standIn) Configuration(ctx context.Context, after int64, wait time.Duration) (*Configuration, error) {
	si.mu.Lock()
	co := si.config
	si.mu.Unlock()
	if co.Version > after {
		return co, nil
	}
	sleep(ctx, wait)
	return nil, ctx.Err()
}

func (wo *standInWorker) clock() int64 { return 1000 + time.Since(wo.began).Milliseconds() }

func (wo *standInWorker) signal() {
	close(wo.changed)
	wo.changed = make(chan struct{})
}

// lost reports whether the present call gets lost. The lock is held.
func (wo *standInWorker) lost() bool {
	wo.calls++
	return wo.loses > 0 && wo.calls%wo.loses == 0
}

// accept checks the fence. The lock is held.
func (wo *standInWorker) accept(fence int64) bool {
	if fence < wo.fence {
		wo.rejected++
		return false
	}
	wo.fence = fence
	return true
}

func (si *standIn) Start(ctx context.Context, or RunRequest) (Reply, error) {
	si.mu.Lock()
	defer si.mu.Unlock()
	wo := si.workers[or.Worker]
	if wo == nil {
		return Reply{}, ConnectionRefusedError{errSilent}
	}
	re := Reply{Clock: wo.clock(), Born: wo.ProcessStart}
	switch {
	case wo.silent:
		return Reply{}, errSilent
	case wo.lost():
		si.mu.Unlock()
		<-ctx.Done()
		si.mu.Lock()
		return Reply{}, ctx.Err()
	case wo.refuses:
		return Reply{}, ConnectionRefusedError{errSilent}
	case !wo.accept(or.Fence):
		re.Rejected = RejectFence
		return re, nil
	case or.Expires <= wo.clock():
		re.Rejected = RejectLeaseExpired
		return re, nil
	case or.Attempt <= wo.dead[or.Task]:
		re.Rejected = RejectStaleAttempt
		return re, nil
	case wo.runs[or.Task] != nil:
		return re, nil
	}
	used := taskRoom
	for _, ru := range wo.runs {
		used = used.Plus(ru.room)
	}
	if !used.Fits(wo.Capacity) {
		si.violations = append(si.violations, fmt.Sprintf("%s filled to %+v", wo.ID, used))
	}
	if si.running[or.Task]++; si.running[or.Task] > 1 {
		si.violations = append(si.violations, fmt.Sprintf("task %s runs twice", or.Task))
	}
	si.starts[or.Task]++
	if wo.Draining {
		wo.startsWhileDraining++
	}
	ru := &standInRun{attempt: or.Attempt, room: taskRoom, expires: or.Expires}
	wo.runs[or.Task] = ru
	took, err := time.ParseDuration(or.Spec)
	if err != nil {
		took = 0
	}
	time.AfterFunc(took, func() { si.end(wo, or.Task, ru, lovagepool.RunDone) })
	si.watchLease(wo, or.Task, ru)
	return re, nil
}

func (si *standIn) watchLease(wo *standInWorker, task string, ru *standInRun) {
	time.AfterFunc(time.Duration(ru.expires-wo.clock())*time.Millisecond, func() {
		si.mu.Lock()
		over, left := ru.over, ru.expires-wo.clock()
		if !over && left > 0 {
			si.watchLease(wo, task, ru)
		}
		si.mu.Unlock()
		if !over && left <= 0 {
			si.end(wo, task, ru, lovagepool.RunLapsed)
		}
	})
}

func (si *standIn) end(wo *standInWorker, task string, ru *standInRun, how lovagepool.RunOutcome) {
	si.mu.Lock()
	defer si.mu.Unlock()
	if ru.over {
		return
	}
	ru.over = true
	si.running[task]--
	delete(wo.runs, task)
	wo.dead[task] = max(wo.dead[task], ru.attempt)
	wo.nextEnd++
	wo.ends = append(wo.ends, standInEnd{wo.nextEnd, lovagepool.EndedRun{Task: task, Attempt: ru.attempt, Outcome: how}})
	wo.signal()
}

func (si *standIn) Stop(_ context.Context, or RunRequest) (Reply, error) {
	si.mu.Lock()
	wo := si.workers[or.Worker]
	if wo == nil || wo.silent || wo.refuses {
		si.mu.Unlock()
		return Reply{}, errSilent
	}
	re := Reply{Clock: wo.clock(), Born: wo.ProcessStart}
	if !wo.accept(or.Fence) {
		si.mu.Unlock()
		re.Rejected = RejectFence
		return re, nil
	}
	wo.dead[or.Task] = max(wo.dead[or.Task], or.Attempt)
	ru := wo.runs[or.Task]
	si.mu.Unlock()
	if ru != nil && ru.attempt == or.Attempt {
		si.end(wo, or.Task, ru, lovagepool.RunStopped)
	}
	return re, nil
}

func (si *standIn) Poll(ctx context.Context, lo PollRequest) (Reply, error) {
	until := time.Now().Add(lo.Wait)
	for first := true; ; first = false {
		si.mu.Lock()
		wo := si.workers[lo.Worker]
		if wo == nil {
			si.mu.Unlock()
			return Reply{}, ConnectionRefusedError{errSilent}
		}
		if wo.silent || wo.refuses || first && wo.lost() {
			refuses := wo.refuses
			si.mu.Unlock()
			if refuses {
				return Reply{}, ConnectionRefusedError{errSilent}
			}
			<-ctx.Done()
			return Reply{}, ctx.Err()
		}
		re := Reply{Clock: wo.clock(), Born: wo.ProcessStart}
		if !wo.accept(lo.Fence) {
			si.mu.Unlock()
			re.Rejected = RejectFence
			return re, nil
		}
		kept := wo.ends[:0]
		for _, en := range wo.ends {
			if en.number > lo.AckedEnd {
				kept = append(kept, en)
				re.Ended = append(re.Ended, en.EndedRun)
				re.LastEnd = en.number
			}
		}
		wo.ends = kept
		for task, ru := range wo.runs {
			ru.expires = max(ru.expires, lo.Expires)
			re.Active = append(re.Active, lovagepool.ActiveRun{Task: task, Attempt: ru.attempt})
		}
		changed, mute := wo.changed, wo.mute
		si.mu.Unlock()
		if mute {
			return Reply{}, errSilent
		}
		left := time.Until(until)
		if len(re.Ended) > 0 || left <= 0 || ctx.Err() != nil {
			return re, ctx.Err()
		}
		timer := time.NewTimer(left)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// cuttableStore is the store as one instance reaches it.
type cuttableStore struct {
	*standIn
	id string
}

func (cs cuttableStore) reach() error {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.cut[cs.id] {
		return errSilent
	}
	return nil
}

func (cs cuttableStore) Workers(ctx context.Context) ([]RegisteredWorker, error) {
	if err := cs.reach(); err != nil {
		return nil, err
	}
	cs.mu.Lock()
	took := cs.readTime
	cs.mu.Unlock()
	sleep(ctx, took)
	return cs.standIn.Workers(ctx)
}

func (cs cuttableStore) Configuration(ctx context.Context, after int64, wait time.Duration) (*Configuration, error) {
	if err := cs.reach(); err != nil {
		return nil, err
	}
	return cs.standIn.Configuration(ctx, after, wait)
}

func (cs cuttableStore) Scan(ctx context.Context, prefix string) ([]lovageplatform.Row, error) {
	if err := cs.reach(); err != nil {
		return nil, err
	}
	return cs.standIn.Scan(ctx, prefix)
}

func (cs cuttableStore) Commit(ctx context.Context, tx lovageplatform.Transaction) (lovageplatform.CommitResult, error) {
	if err := cs.reach(); err != nil {
		return lovageplatform.CommitResult{}, err
	}
	res, err := cs.standIn.Commit(ctx, tx)
	cs.mu.Lock()
	late := cs.lateAnswer[cs.id]
	cs.mu.Unlock()
	sleep(ctx, late)
	if ctx.Err() != nil {
		return lovageplatform.CommitResult{}, ctx.Err()
	}
	return res, err
}

// check reports what must never have happened.
func (si *standIn) check(t *testing.T) {
	t.Helper()
	si.mu.Lock()
	defer si.mu.Unlock()
	if len(si.violations) > 0 {
		t.Errorf("violations:\n%s", strings.Join(si.violations, "\n"))
	}
}

func testWork(id string, tasks int, took time.Duration) *lovagejob.Workload {
	now := time.Now()
	return &lovagejob.Workload{
		ID: id, Queue: "checks", Service: "s", Spec: took.String(), BestEffort: true, MaxAttempts: 2, SlackFactor: 1.6,
		TargetLatency: 60 * time.Millisecond, Arrived: now, Deadline: now.Add(2 * time.Second),
		Steps: []lovagejob.Step{{Count: tasks, Resources: taskRoom, RunTime: took}},
	}
}

func randomID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
