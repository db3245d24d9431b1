package lovagetrial

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"lovagestack/lovageapi"
	"lovagestack/lovageresource"
)

// Operation is the kind of a caller's request.
type Operation string

// Operations of callers.
const (
	OpSubmit Operation = "submit"
	OpAsk    Operation = "ask"
	OpCancel Operation = "cancel"
)

// CallRecord is one request of a caller about a key, and its result.
type CallRecord struct {
	Operation    Operation
	Process      string // ID of the instance's process
	Key          string
	Payloads     []int // payload length of each task in bytes; only for OpSubmit
	Invoked      time.Time
	Written      time.Time // when the request was written to a connection; zero if it was not
	Returned     time.Time
	Answer       lovageapi.AnswerReply // valid if Err is nil
	Err          error                 // nil if the request got an answer
	NotSent      bool                  // the request cannot have reached the instance
	CallerGaveUp bool                  // the caller stopped waiting
	Refused      bool                  // the instance replied that it did not process the request
}

// WriteRecord is one attempt of an operator to change a resource.
type WriteRecord struct {
	Process  string
	Resource lovageresource.Resource // new state, with the revision that the change replaces
	Deleted  bool                    // the change is a deletion
	Invoked  time.Time
	Returned time.Time
	Result   lovageresource.WriteResult
	Err      error
}

// ReadRecord is the list of all resources that an instance returned while it was ready.
type ReadRecord struct {
	InstanceName string
	Process      string
	Invoked      time.Time
	Returned     time.Time
	Revision     int64 // configuration revision that the instance showed
	Resources    []lovageresource.Resource
}

// InForceRecord says whether all running instances showed a revision within a time limit.
type InForceRecord struct {
	Revision int64
	Limit    time.Duration
	Missing  []string // processes that did not show the revision in time
}

// WatchRecord lists the revisions that one watch showed.
type WatchRecord struct {
	Process      string
	FromRevision int64
	Revisions    []int64
}

// ShutdownRecord is a graceful shutdown of a process.
type ShutdownRecord struct {
	Process       string
	Began, Ended  time.Time
	AcceptedUntil time.Time // callers' connections opened before this time were accepted; zero if unknown
	CutRequests   int
	Faulted       bool // a fault had hit the process, so that it may have lost requests
}

// Offer is one task that an instance sent to a worker.
type Offer struct {
	Worker, Task string
	At           time.Time
	Refused      bool // the worker did not start the task
}

// LeavingRecord says that a leaving worker must get no task later than Limit after Since.
type LeavingRecord struct {
	Worker string
	Since  time.Time // first sign of leaving that could reach every running instance
	Limit  time.Duration
}

// Evidence is all that a trial has recorded.
type Evidence struct {
	StartCounts    map[string]int // number of starts at all workers, by "key/task"
	Calls          []CallRecord
	Writes         []WriteRecord
	Reads          []ReadRecord
	InForce        []InForceRecord
	Watches        []WatchRecord
	Shutdowns      []ShutdownRecord
	Offers         []Offer
	LeavingWorkers []LeavingRecord
}

type recorder struct {
	mu sync.Mutex
	ev Evidence
}

func newRecorder() *recorder { return &recorder{} }

func (re *recorder) update(fn func(ev *Evidence)) {
	re.mu.Lock()
	defer re.mu.Unlock()
	fn(&re.ev)
}

func (re *recorder) addShutdown(sh ShutdownRecord) {
	re.update(func(ev *Evidence) { ev.Shutdowns = append(ev.Shutdowns, sh) })
}

// Evidence returns the records so far and the workers' current start counts.
func (de *Deployment) Evidence() Evidence {
	de.evidence.mu.Lock()
	out := de.evidence.ev
	de.evidence.mu.Unlock()
	out.StartCounts = map[string]int{}
	for _, wo := range de.workers {
		for task, n := range wo.StartCounts() {
			out.StartCounts[task] += n
		}
	}
	return out
}

// maxReportedCalls limits a report to the latest calls, which show how a trial ended.
const maxReportedCalls = 40

// Report describes the rows of instances and ranges, the processes and the latest calls.
func (de *Deployment) Report() string {
	var sb strings.Builder
	for _, prefix := range []string{"instance/", "range/"} {
		rows, err := de.platform.Memory().Scan(context.Background(), prefix)
		if err != nil {
			fmt.Fprintln(&sb, err)
		}
		for _, row := range rows {
			fmt.Fprintf(&sb, "%s version %d: %s\n", row.Key, row.Version, row.Value)
		}
	}
	for _, it := range de.Processes() {
		fmt.Fprintf(&sb, "%s running=%t faulted=%t\n", it.ID(), it.Running(), it.Faulted())
	}
	calls := de.Evidence().Calls
	for i := max(0, len(calls)-maxReportedCalls); i < len(calls); i++ {
		fmt.Fprintln(&sb, &calls[i])
	}
	return sb.String()
}
