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

// Operation is what a caller asked for.
type Operation string

// Operations of callers.
const (
	OpSubmit Operation = "submit"
	OpAsk    Operation = "ask"
	OpCancel Operation = "cancel"
)

// CallRecord is one request of a caller about a key with what came of it.
type CallRecord struct {
	Operation    Operation
	Process      string // ID of the instance's process
	Key          string
	Payloads     []int // bytes of each task's payload, for a submission
	Invoked      time.Time
	Written      time.Time // when the request had been written to a connection; zero if it was not
	Returned     time.Time
	Answer       lovageapi.AnswerReply // without Err
	Err          error                 // the request has no answer
	NotSent      bool                  // Err: it cannot have reached the instance
	CallerGaveUp bool                  // Err: the caller did not wait any longer
	Refused      bool                  // Err: the instance replied that it did not process the request
}

// WriteRecord is one change of a resource by an operator.
type WriteRecord struct {
	Process  string
	Resource lovageresource.Resource // with the revision that it replaces
	Deleted  bool                    // the change deletes the resource
	Invoked  time.Time
	Returned time.Time
	Result   lovageresource.WriteResult
	Err      error
}

// ReadRecord is the state of all resources as an instance that was ready showed it.
type ReadRecord struct {
	InstanceName string // of the instance
	Process      string
	Invoked      time.Time
	Returned     time.Time
	Revision     int64
	Resources    []lovageresource.Resource
}

// InForceRecord says whether a revision reached all running instances within a time.
type InForceRecord struct {
	Revision int64
	Limit    time.Duration
	Missing  []string // processes that did not show it in time
}

// WatchRecord is what one watch of resources has shown.
type WatchRecord struct {
	Process      string
	FromRevision int64
	Revisions    []int64
}

// ShutdownRecord is a graceful end of a process.
type ShutdownRecord struct {
	Process       string
	Began, Ended  time.Time
	AcceptedUntil time.Time // connections of callers that were opened before this were accepted; zero if that is not known
	CutRequests   int
	Faulted       bool // a fault of the trial had hit the process, so that requests may have been lost
}

// Offer is a task that a worker got.
type Offer struct {
	Worker, Task string
	At           time.Time
	Refused      bool // not started
}

// LeavingRecord says that a worker was leaving.
type LeavingRecord struct {
	Worker string
	Since  time.Time // of the first sign that could reach every instance that runs
	Limit  time.Duration
}

// Evidence is everything that a check needs.
type Evidence struct {
	StartCounts    map[string]int // by "key/task", over all workers
	Calls          []CallRecord
	Writes         []WriteRecord
	Reads          []ReadRecord
	InForce        []InForceRecord
	Watches        []WatchRecord
	Shutdowns      []ShutdownRecord
	Offers         []Offer
	LeavingWorkers []LeavingRecord
}

// recorder collects evidence.
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

// Evidence returns what has been recorded so far and the workers' start counts now.
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

// maxReportedCalls bounds the calls in a report; the last ones tell how a trial ended.
const maxReportedCalls = 40

// Report describes the rows of ranges and instances and the last calls, for a trial that failed.
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
