package lovagetrial

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"lovagestack/lovageapi"
	"lovagestack/lovagehistory"
	"lovagestack/lovageplatform"
	"lovagestack/lovageresource"
)

// Endpoint is one entry instance as callers and operators reach it. Its methods are safe for concurrent use.
type Endpoint interface {
	Name() string // name of the instance; the same after a restart
	Mint(ctx context.Context, count int, repeatable bool) ([]string, error)
	Submit(ctx context.Context, jo lovageapi.JobRequest) (lovageapi.AnswerReply, error)
	Ask(ctx context.Context, key string, wait time.Duration) (lovageapi.AnswerReply, error)
	Cancel(ctx context.Context, key string) (lovageapi.AnswerReply, error)
	Put(ctx context.Context, re lovageresource.Resource) (lovageresource.WriteResult, error)
	Delete(ctx context.Context, kind lovageresource.Kind, name string, revision int64) (lovageresource.WriteResult, error)
	// List also reports whether the instance was ready before the call.
	List(ctx context.Context) (li lovageapi.ListReply, ready bool, err error)
}

// HistoryWorkload configures a run of concurrent callers and operators.
type HistoryWorkload struct {
	Seed      uint64
	Callers   int
	Operators int
	Duration  time.Duration
	Endpoints func() []Endpoint // returns the current instances, at least one
	// Rows returns the rows of the key ranges from the table.
	Rows func(ctx context.Context) ([]lovageplatform.Row, error)
}

// History runs a HistoryWorkload and records its operations for CheckHistory.
type History struct {
	workload     HistoryWorkload
	recorder     *lovagehistory.Recorder
	recorded     bytes.Buffer // written by recorder under its own lock
	rangeWatcher *rangeWatcher
	submitted    submittedJobs

	mu       sync.Mutex
	mints    []lovagehistory.Entry // key mints; a key's range is known only after the call
	putCount int                   // number of putTeam calls; makes written contents unique
}

// NewHistory returns an empty history.
func NewHistory(wl HistoryWorkload) *History {
	hi := &History{workload: wl}
	hi.recorder = lovagehistory.NewRecorder(fmt.Sprintf("seed%d", wl.Seed), &hi.recorded)
	hi.rangeWatcher = newRangeWatcher(wl.Rows)
	return hi
}

// RecordStart records that a worker has started a task.
func (hi *History) RecordStart(task string) {
	hi.recorder.Begin(taskStartOperation(task))(lovagehistory.Result{})
}

// TaskStartEntry returns an entry without an ID for a task that started between callTime and returnTime (Unix nanoseconds).
func TaskStartEntry(task string, callTime, returnTime int64) lovagehistory.Entry {
	return lovagehistory.Entry{Call: callTime, Return: returnTime, Operation: taskStartOperation(task)}
}

// taskStartOperation returns the operation for a task's start. Its content is the digest of the task's result: the task's
// name, which the worker's reply contains.
func taskStartOperation(task string) lovagehistory.Operation {
	key, number, _ := strings.Cut(task, "/")
	n, err := strconv.Atoi(number)
	if err != nil {
		n = -1 // not a task number; no complete answer can contain it
	}
	return lovagehistory.Operation{Kind: lovagehistory.Start, Key: key, Task: n, Content: task}
}

// Run first records the resources declared before. It then runs the callers and operators for the configured duration,
// and reads the key ranges until the clients have returned.
func (hi *History) Run(ctx context.Context) error {
	if err := hi.recordDeclared(ctx); err != nil {
		return err
	}
	if err := hi.rangeWatcher.scanRanges(ctx); err != nil {
		return errors.Wrap(err, "read the key ranges")
	}
	watchCtx, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	var watcherGroup sync.WaitGroup
	watcherGroup.Go(func() { hi.rangeWatcher.run(watchCtx) })
	ctx, cancel := context.WithTimeout(ctx, hi.workload.Duration)
	defer cancel()
	var clientGroup sync.WaitGroup
	for i := range hi.workload.Callers {
		clientGroup.Go(func() { newHistoryCaller(hi, i).run(ctx) })
	}
	for i := range hi.workload.Operators {
		clientGroup.Go(func() { newHistoryOperator(hi, i).run(ctx) })
	}
	clientGroup.Wait()
	stopWatch()
	watcherGroup.Wait()
	return nil
}

// Finish asks about each submitted job, at the instances in turn. It then reads each instance's configuration until the
// instance shows the newest revision, and reads the key ranges. All faults must have ended.
func (hi *History) Finish(ctx context.Context) error {
	for i, jo := range hi.submitted.all() {
		eps := hi.workload.Endpoints()
		hi.ask(ctx, eps[i%len(eps)], jo.Key)
	}
	for _, ep := range hi.workload.Endpoints() {
		for !hi.showsNewestRevision(ctx, ep) {
			if err := pauseFor(ctx, pollInterval); err != nil {
				return errors.Wrapf(err, "%s does not show the newest configuration", ep.Name())
			}
		}
	}
	return errors.Wrap(hi.rangeWatcher.scanRanges(ctx), "read the key ranges")
}

// showsNewestRevision reports whether the instance is ready and all others answer with no higher revision.
func (hi *History) showsNewestRevision(ctx context.Context, ep Endpoint) bool {
	li, ready, err := hi.listResources(ctx, ep)
	if err != nil || !ready {
		return false
	}
	for _, other := range hi.workload.Endpoints() {
		if otherList, _, err := hi.listResources(ctx, other); err != nil || otherList.Revision > li.Revision {
			return false
		}
	}
	return true
}

// recordDeclared records the resources that exist before the run as writes, in the order of their revisions. The write
// of a revision that has since been replaced gets a made-up name, so that revisions have no gaps.
func (hi *History) recordDeclared(ctx context.Context) error {
	li, ready, err := hi.workload.Endpoints()[0].List(ctx)
	if err != nil || !ready {
		return errors.CombineErrors(errors.New("the first instance is not ready"), err)
	}
	names := map[int64]string{}
	for _, resource := range li.Resources {
		names[resource.Revision] = string(resource.Kind) + "/" + resource.Name
	}
	for revision := int64(1); revision <= li.Revision; revision++ {
		name := cmp.Or(names[revision], fmt.Sprintf("replaced/%d", revision))
		hi.recorder.Begin(lovagehistory.Operation{Kind: lovagehistory.ConfigWrite, Name: name, Content: "declared"})(
			lovagehistory.Result{WriteOutcome: lovagehistory.Committed, Revision: revision})
	}
	return nil
}

// Entries returns the recorded operations, range acquisitions and mints. The run must have ended.
func (hi *History) Entries() ([]lovagehistory.Entry, error) {
	if err := hi.recorder.Err(); err != nil {
		return nil, err
	}
	entries, err := lovagehistory.Read(bytes.NewReader(hi.recorded.Bytes()))
	if err != nil {
		return nil, err
	}
	hi.mu.Lock()
	defer hi.mu.Unlock()
	return slices.Concat(entries, hi.rangeWatcher.acquisitionsAndMints(hi.mints)), nil
}

// CheckHistory checks entries against the models of jobs, configuration and ownership, and joins their errors.
func CheckHistory(entries []lovagehistory.Entry) error {
	// Requests and reads without a response are dropped: they change no state of the models and prove nothing, but would
	// overlap all later operations.
	entries = slices.DeleteFunc(slices.Clone(entries), func(en lovagehistory.Entry) bool {
		switch en.Operation.Kind {
		case lovagehistory.Submit, lovagehistory.Ask, lovagehistory.Cancel, lovagehistory.ConfigApply:
			return en.Return == 0
		default:
			return false
		}
	})
	return errors.Join(
		errors.Wrap(lovagehistory.CheckJobs(entries), "jobs"),
		errors.Wrap(lovagehistory.CheckConfiguration(entries), "configuration"),
		errors.Wrap(lovagehistory.CheckOwnership(entries), "ownership"),
	)
}

// HistorySummary describes the numbers of operations, keys, outcomes and configuration writes.
func HistorySummary(entries []lovagehistory.Entry) string {
	countByKind, countByOutcome, keys := map[lovagehistory.Kind]int{}, map[string]int{}, map[string]bool{}
	countByWriteOutcome := map[lovagehistory.WriteOutcome]int{}
	unanswered, deletions := 0, 0
	for i := range entries {
		en := &entries[i]
		countByKind[en.Operation.Kind]++
		if en.Operation.Key != "" {
			keys[en.Operation.Key] = true
		}
		if en.Result.Outcome != "" {
			countByOutcome[en.Result.Outcome]++
		}
		if en.Operation.Kind == lovagehistory.ConfigWrite {
			countByWriteOutcome[en.Result.WriteOutcome]++
			if en.Operation.Content == "" && en.Result.WriteOutcome == lovagehistory.Committed {
				deletions++
			}
		}
		if en.Return == 0 {
			unanswered++
		}
	}
	return fmt.Sprintf("%d operations, %d without response, %d keys; by kind %v; outcomes %v; configuration writes %v, "+
		"%d deletions committed", len(entries), unanswered, len(keys), countByKind, countByOutcome,
		countByWriteOutcome, deletions)
}
