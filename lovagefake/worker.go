package lovagefake

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"lovagestack/lovagebackend"
	"lovagestack/lovageplatform"
)

// maxPayloadBytes is the maximum size of a task's payload and of a reply's padding.
const maxPayloadBytes = 8 << 20

// WorkerSettings are the settings of a Worker. Zero fields take the default in their comment.
type WorkerSettings struct {
	ID          string
	DataCentre  string
	Slots       int                            // maximum number of concurrent tasks; default 8
	Connections int                            // maximum number of open connections; default 64; the worker closes further ones
	Speed       float64                        // divides run times; default 1
	Services    map[string]RunTimeDistribution // run times by service name; other services use the defaults
	Seed        uint64                         // workers with the same seed choose the same run time for a task
	NoStarts    bool                           // disables StartCounts, for runs with millions of tasks
	OnStart     func(task string)              // called after a task has taken a slot, before it runs; may be nil

	// OnReply is called before a reply is written, with the values of the reply's headers. It may be nil.
	OnReply func(task string, leaving, notStarted bool)
}

// WorkerFaults are the faults of a Worker; the zero value has none.
type WorkerFaults struct {
	FailEverything    bool     `json:"failEverything,omitempty"` // each task starts and immediately fails with status 500
	SlowdownFactor    float64  `json:"straggle,omitempty"`       // multiplies run times; 0 for none
	Pause             bool     `json:"pause,omitempty"`          // no task starts or ends, and no reply is sent
	Leaving           bool     `json:"leaving,omitempty"`        // replies carry the Lovage-Leaving header; Instance is leaving
	Refuse            bool     `json:"refuse,omitempty"`         // replies 503 with the Lovage-Not-Started header
	CloseBeforeRead   bool     `json:"closeBefore,omitempty"`    // closes the connection instead of reading a request
	CloseAfterRead    bool     `json:"closeAfter,omitempty"`     // closes the connection after reading the request; no task starts
	CloseInReply      bool     `json:"closeInReply,omitempty"`   // closes the connection after half of the reply body
	CloseReusedAtByte int      `json:"closeReusedAt,omitempty"`  // closes a reused connection before the n-th byte of a request
	ReplyDelay        Duration `json:"lateReply,omitempty"`      // delay between the end of a task and its reply
	MismatchReplies   bool     `json:"crossReplies,omitempty"`   // replies repeat the task and body of the previous reply, if any
}

// WorkerCounters counts events since the start of the worker.
type WorkerCounters struct {
	Connections   int64 `json:"connections"`  // accepted connections
	OverLimit     int64 `json:"overLimit"`    // connections closed because of the connection limit
	Requests      int64 `json:"requests"`     // requests received completely
	Incomplete    int64 `json:"incomplete"`   // requests whose body could not be read
	Started       int64 `json:"started"`      // tasks started
	Finished      int64 `json:"finished"`     // tasks that ran to completion
	Stopped       int64 `json:"stopped"`      // tasks stopped before completion, by the caller or by Close
	Refused       int64 `json:"refused"`      // requests answered as not started
	ClosedByFault int64 `json:"closedByRule"` // connections closed by a Close* fault
}

// Worker serves the worker protocol. It must be created with NewWorker and started with Listen.
type Worker struct {
	se       WorkerSettings
	faults   atomic.Pointer[WorkerFaults]
	server   *http.Server
	listener *workerListener
	stopped  chan struct{}
	stopOnce sync.Once
	serving  sync.WaitGroup

	mu           sync.Mutex
	resumed      chan struct{} // closed unless the worker is paused
	runningTasks int
	counters     WorkerCounters
	startCounts  map[string]int
	lastReply    taskReply // previous reply, for MismatchReplies
}

// taskPayload is an optional payload format that controls the task. A task with another payload runs for the service's
// run time.
type taskPayload struct {
	RunTime    *Duration `json:"runTime"`
	Status     int       `json:"status"`
	ReplyBytes int       `json:"replyBytes"` // length of Padding in the reply
}

type taskReply struct {
	Worker       string   `json:"worker"`
	Task         string   `json:"task"`
	Service      string   `json:"service"`
	RunTime      Duration `json:"runTime"`
	PayloadBytes int      `json:"payloadBytes"`
	Padding      string   `json:"padding,omitempty"`
}

// NewWorker returns a worker without faults. It does not listen yet.
func NewWorker(se WorkerSettings) *Worker {
	if se.Slots <= 0 {
		se.Slots = 8
	}
	if se.Connections <= 0 {
		se.Connections = 64
	}
	if se.Speed <= 0 {
		se.Speed = 1
	}
	wo := &Worker{se: se, stopped: make(chan struct{}), resumed: make(chan struct{}), startCounts: map[string]int{}}
	close(wo.resumed)
	wo.faults.Store(&WorkerFaults{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/services/{service}/tasks", wo.serveTask)
	wo.server = &http.Server{
		Handler: mux, ReadHeaderTimeout: time.Minute,
		ConnContext: func(ctx context.Context, co net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, co)
		},
	}
	return wo
}

// Listen starts serving on the address and returns the bound address.
func (wo *Worker) Listen(addr string) (string, error) {
	li, err := net.Listen("tcp", addr)
	if err != nil {
		return "", errors.Wrapf(err, "worker %s", wo.se.ID)
	}
	wo.listener = &workerListener{Listener: li, worker: wo}
	wo.serving.Go(wo.run)
	return li.Addr().String(), nil
}

func (wo *Worker) run() { _ = wo.server.Serve(wo.listener) } // returns when Close is called

// Close closes the listener and all connections, as if the process had crashed.
func (wo *Worker) Close() {
	wo.stopOnce.Do(func() { close(wo.stopped) })
	_ = wo.server.Close()
	wo.serving.Wait()
}

// Instance returns the worker's entry in the platform's instance list.
func (wo *Worker) Instance() lovageplatform.Instance {
	in := lovageplatform.Instance{
		ID: wo.se.ID, DataCentre: wo.se.DataCentre, Kind: lovageplatform.KindWorker, State: lovageplatform.StateLive,
	}
	if wo.listener != nil {
		in.Address = wo.listener.Addr().String()
	}
	if wo.Faults().Leaving {
		in.State = lovageplatform.StateLeaving
	}
	return in
}

// Faults returns the current faults.
func (wo *Worker) Faults() WorkerFaults { return *wo.faults.Load() }

// SetFaults replaces the faults. SlowdownFactor and FailEverything apply only to tasks that start later.
func (wo *Worker) SetFaults(fa WorkerFaults) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	previous := wo.faults.Swap(&fa)
	switch {
	case fa.Pause && !previous.Pause:
		wo.resumed = make(chan struct{})
	case !fa.Pause && previous.Pause:
		close(wo.resumed)
	}
}

// Counters returns the current counters.
func (wo *Worker) Counters() WorkerCounters {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	return wo.counters
}

// StartCounts returns the number of starts by Lovage-Task header. It is empty with NoStarts.
func (wo *Worker) StartCounts() map[string]int {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	return maps.Clone(wo.startCounts)
}

// RunningTasks returns the number of running tasks.
func (wo *Worker) RunningTasks() int {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	return wo.runningTasks
}

func (wo *Worker) updateCounters(change func(*WorkerCounters)) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	change(&wo.counters)
}

// abort closes the connection of the request and counts it in ClosedByFault.
func (wo *Worker) abort() {
	wo.updateCounters(func(co *WorkerCounters) { co.ClosedByFault++ })
	panic(http.ErrAbortHandler)
}

func (wo *Worker) serveTask(rw http.ResponseWriter, req *http.Request) {
	payload, err := io.ReadAll(http.MaxBytesReader(rw, req.Body, maxPayloadBytes))
	if err != nil {
		wo.updateCounters(func(co *WorkerCounters) { co.Incomplete++ })
		panic(http.ErrAbortHandler)
	}
	wo.updateCounters(func(co *WorkerCounters) { co.Requests++ })
	if wo.Faults().CloseAfterRead {
		wo.abort()
	}
	ctx := req.Context()
	if !wo.waitResumed(ctx) {
		panic(http.ErrAbortHandler)
	}
	deadline, err := time.Parse(time.RFC3339Nano, req.Header.Get(lovagebackend.HeaderDeadline))
	expired := err == nil && time.Now().After(deadline)
	task := req.Header.Get(lovagebackend.HeaderTask)
	if expired || wo.Faults().Refuse || !wo.start(task) {
		wo.refuse(rw, req)
		return
	}
	reply := taskReply{Worker: wo.se.ID, Task: task, Service: req.PathValue("service"), PayloadBytes: len(payload)}
	if wo.se.OnStart != nil {
		wo.se.OnStart(task)
	}
	status, ok := wo.runTask(ctx, payload, &reply)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	if d := time.Duration(wo.Faults().ReplyDelay); d > 0 && !wo.sleep(ctx, d) {
		panic(http.ErrAbortHandler)
	}
	wo.reply(rw, req, status, reply)
}

// start takes a slot and records the start. It returns false if no slot is free.
func (wo *Worker) start(task string) bool {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	if wo.runningTasks >= wo.se.Slots {
		return false
	}
	wo.runningTasks++
	wo.counters.Started++
	if !wo.se.NoStarts {
		wo.startCounts[task]++
	}
	return true
}

// runTask runs the task, then frees its slot. It returns false if the request or the worker is closed first.
func (wo *Worker) runTask(ctx context.Context, payload []byte, reply *taskReply) (status int, finished bool) {
	defer func() {
		wo.mu.Lock()
		defer wo.mu.Unlock()
		wo.runningTasks--
		if finished {
			wo.counters.Finished++
		} else {
			wo.counters.Stopped++
		}
	}()
	fa := wo.Faults()
	if fa.FailEverything {
		return http.StatusInternalServerError, true
	}
	var want taskPayload
	if json.Unmarshal(payload, &want) != nil {
		want = taskPayload{} // a payload in another format sets no options
	}
	if want.RunTime == nil {
		d := Duration(wo.se.Services[reply.Service].sample(wo.se.Seed, reply.Task))
		want.RunTime = &d
	}
	d := float64(*want.RunTime) / wo.se.Speed
	if fa.SlowdownFactor > 0 {
		d *= fa.SlowdownFactor
	}
	reply.RunTime = Duration(d)
	if want.ReplyBytes > 0 {
		reply.Padding = padding(min(want.ReplyBytes, maxPayloadBytes))
	}
	if !wo.sleep(ctx, time.Duration(d)) || !wo.waitResumed(ctx) {
		return 0, false
	}
	if want.Status >= 200 && want.Status < 600 {
		return want.Status, true
	}
	return http.StatusOK, true
}

func (wo *Worker) refuse(rw http.ResponseWriter, req *http.Request) {
	wo.updateCounters(func(co *WorkerCounters) { co.Refused++ })
	markReplied(req)
	wo.setHeaders(rw, req, true)
	rw.Header().Set(lovagebackend.HeaderNotStarted, "true")
	writeError(rw, http.StatusServiceUnavailable, errors.New("the task was not started"))
}

func (wo *Worker) setHeaders(rw http.ResponseWriter, req *http.Request, notStarted bool) {
	leaving := wo.Faults().Leaving
	if leaving {
		rw.Header().Set(lovagebackend.HeaderLeaving, "true")
	}
	if wo.se.OnReply != nil {
		wo.se.OnReply(req.Header.Get(lovagebackend.HeaderTask), leaving, notStarted)
	}
}

func (wo *Worker) reply(rw http.ResponseWriter, req *http.Request, status int, reply taskReply) {
	fa := wo.Faults()
	wo.mu.Lock()
	current := reply
	if fa.MismatchReplies && wo.lastReply.Task != "" {
		reply = wo.lastReply
	}
	wo.lastReply = current
	wo.mu.Unlock()
	markReplied(req)
	wo.setHeaders(rw, req, false)
	rw.Header().Set(lovagebackend.HeaderTask, reply.Task)
	if fa.CloseInReply {
		rw.Header().Set("Content-Length", "64")
		rw.WriteHeader(status)
		_, _ = rw.Write(make([]byte, 32))
		_ = http.NewResponseController(rw).Flush()
		wo.abort()
	}
	writeJSON(rw, status, reply)
}

// waitResumed waits until the worker is not paused. It returns false if the request or the worker is closed first.
func (wo *Worker) waitResumed(ctx context.Context) bool {
	wo.mu.Lock()
	resumed := wo.resumed
	wo.mu.Unlock()
	select {
	case <-resumed:
		return true
	case <-ctx.Done():
	case <-wo.stopped:
	}
	return false
}

func (wo *Worker) sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	ti := time.NewTimer(d)
	defer ti.Stop()
	select {
	case <-ti.C:
		return true
	case <-ctx.Done():
	case <-wo.stopped:
	}
	return false
}
