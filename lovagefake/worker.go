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

// maxPayloadBytes bounds the body of a task.
const maxPayloadBytes = 8 << 20

// WorkerSettings describes a worker. Zero fields take the default named beside them.
type WorkerSettings struct {
	ID          string
	DataCentre  string
	Slots       int                            // tasks that run at the same time, 8
	Connections int                            // open connections, 64; further ones are closed at once
	Speed       float64                        // run times are divided by it, 1
	Services    map[string]RunTimeDistribution // services by name; one that is missing takes the default of RunTimeDistribution
	Seed        uint64                         // a task has the same run time on each worker of the same seed
	NoStarts    bool                           // does not record starts, for runs with millions of tasks
	OnStart     func(task string)              // called after a task has taken its slot, before it runs; may be nil

	// OnReply is called before a reply is written, with what its headers say. May be nil.
	OnReply func(task string, leaving, notStarted bool)
}

// WorkerFaults are the faults of a Worker; the zero value has none.
type WorkerFaults struct {
	FailEverything    bool     `json:"failEverything,omitempty"` // each task starts and fails at once with status 500
	SlowdownFactor    float64  `json:"straggle,omitempty"`       // run times are multiplied by it
	Pause             bool     `json:"pause,omitempty"`          // nothing starts, ends or is answered
	Leaving           bool     `json:"leaving,omitempty"`        // replies carry the Lovage-Leaving header
	Refuse            bool     `json:"refuse,omitempty"`         // answers 503 with the Lovage-Not-Started header
	CloseBeforeRead   bool     `json:"closeBefore,omitempty"`    // closes the connection instead of reading a request
	CloseAfterRead    bool     `json:"closeAfter,omitempty"`     // closes it after reading the request, without a start
	CloseInReply      bool     `json:"closeInReply,omitempty"`   // closes it after half of the reply's body
	CloseReusedAtByte int      `json:"closeReusedAt,omitempty"`  // closes a reused connection instead of reading the n-th byte of a request
	ReplyDelay        Duration `json:"lateReply,omitempty"`      // time between the end of a task and its reply
	MismatchReplies   bool     `json:"crossReplies,omitempty"`   // replies name and describe the task answered before, if there is one
}

// WorkerCounters counts since the start of the worker.
type WorkerCounters struct {
	Connections   int64 `json:"connections"`  // accepted
	OverLimit     int64 `json:"overLimit"`    // closed because of the connection limit
	Requests      int64 `json:"requests"`     // tasks received whole
	Incomplete    int64 `json:"incomplete"`   // requests whose body did not arrive
	Started       int64 `json:"started"`      // tasks started
	Finished      int64 `json:"finished"`     // tasks that ran to their end
	Stopped       int64 `json:"stopped"`      // tasks stopped because their request was closed
	Refused       int64 `json:"refused"`      // answered as not started
	ClosedByFault int64 `json:"closedByRule"` // connections closed by a Close fault
}

// Worker serves the worker protocol. It must be created with NewWorker and started with Listen.
type Worker struct {
	se      WorkerSettings
	faults  atomic.Pointer[WorkerFaults]
	server  *http.Server
	listen  *workerListener
	stopped chan struct{}
	stop    sync.Once
	serving sync.WaitGroup

	mu      sync.Mutex
	resumed chan struct{} // closed unless the worker is paused
	busy    int
	count   WorkerCounters
	starts  map[string]int
	last    taskReply // reply before, for MismatchReplies
}

// taskPayload is what a payload may ask for; other payloads run for the time of the service.
type taskPayload struct {
	RunTime    *Duration `json:"runTime"`
	Status     int       `json:"status"`
	ReplyBytes int       `json:"replyBytes"` // size of the padding in the reply
}

type taskReply struct {
	Worker       string   `json:"worker"`
	Task         string   `json:"task"`
	Service      string   `json:"service"`
	RunTime      Duration `json:"runTime"`
	PayloadBytes int      `json:"payloadBytes"`
	Padding      string   `json:"padding,omitempty"`
}

// NewWorker returns a worker without faults that does not listen yet.
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
	wo := &Worker{se: se, stopped: make(chan struct{}), resumed: make(chan struct{}), starts: map[string]int{}}
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

// Listen starts to serve on the address and returns it with the port that was chosen.
func (wo *Worker) Listen(addr string) (string, error) {
	li, err := net.Listen("tcp", addr)
	if err != nil {
		return "", errors.Wrapf(err, "worker %s", wo.se.ID)
	}
	wo.listen = &workerListener{Listener: li, worker: wo}
	wo.serving.Go(wo.run)
	return li.Addr().String(), nil
}

func (wo *Worker) run() { _ = wo.server.Serve(wo.listen) } // returns when Close is called

// Close closes the listener and all connections, as the death of the process would.
func (wo *Worker) Close() {
	wo.stop.Do(func() { close(wo.stopped) })
	_ = wo.server.Close()
	wo.serving.Wait()
}

// Instance returns the worker's line in the platform's list.
func (wo *Worker) Instance() lovageplatform.Instance {
	in := lovageplatform.Instance{
		ID: wo.se.ID, DataCentre: wo.se.DataCentre, Kind: lovageplatform.KindWorker, State: lovageplatform.StateLive,
	}
	if wo.listen != nil {
		in.Address = wo.listen.Addr().String()
	}
	if wo.Faults().Leaving {
		in.State = lovageplatform.StateLeaving
	}
	return in
}

// Faults returns the current faults.
func (wo *Worker) Faults() WorkerFaults { return *wo.faults.Load() }

// SetFaults replaces the faults. SlowdownFactor applies to tasks that start later, the others at once.
func (wo *Worker) SetFaults(fa WorkerFaults) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	was := wo.faults.Swap(&fa)
	switch {
	case fa.Pause && !was.Pause:
		wo.resumed = make(chan struct{})
	case !fa.Pause && was.Pause:
		close(wo.resumed)
	}
}

// Counters returns the current counts.
func (wo *Worker) Counters() WorkerCounters {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	return wo.count
}

// StartCounts returns for each Lovage-Task header how often a task with it was started.
func (wo *Worker) StartCounts() map[string]int {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	return maps.Clone(wo.starts)
}

// RunningTasks returns the number of tasks that run.
func (wo *Worker) RunningTasks() int {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	return wo.busy
}

func (wo *Worker) add(change func(*WorkerCounters)) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	change(&wo.count)
}

// abort closes the connection of the request.
func (wo *Worker) abort() {
	wo.add(func(co *WorkerCounters) { co.ClosedByFault++ })
	panic(http.ErrAbortHandler)
}

func (wo *Worker) serveTask(rw http.ResponseWriter, req *http.Request) {
	payload, err := io.ReadAll(http.MaxBytesReader(rw, req.Body, maxPayloadBytes))
	if err != nil {
		wo.add(func(co *WorkerCounters) { co.Incomplete++ })
		panic(http.ErrAbortHandler)
	}
	wo.add(func(co *WorkerCounters) { co.Requests++ })
	if wo.Faults().CloseAfterRead {
		wo.abort()
	}
	ctx := req.Context()
	if !wo.waitResumed(ctx) {
		panic(http.ErrAbortHandler)
	}
	deadline, err := time.Parse(time.RFC3339Nano, req.Header.Get(lovagebackend.HeaderDeadline))
	late := err == nil && time.Now().After(deadline)
	task := req.Header.Get(lovagebackend.HeaderTask)
	if late || wo.Faults().Refuse || !wo.start(task) {
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

// start takes a slot and records the start; it reports false if every slot is taken.
func (wo *Worker) start(task string) bool {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	if wo.busy >= wo.se.Slots {
		return false
	}
	wo.busy++
	wo.count.Started++
	if !wo.se.NoStarts {
		wo.starts[task]++
	}
	return true
}

// runTask runs the task in its slot and reports false if its request was closed.
func (wo *Worker) runTask(ctx context.Context, payload []byte, reply *taskReply) (status int, finished bool) {
	defer func() {
		wo.mu.Lock()
		defer wo.mu.Unlock()
		wo.busy--
		if finished {
			wo.count.Finished++
		} else {
			wo.count.Stopped++
		}
	}()
	fa := wo.Faults()
	if fa.FailEverything {
		return http.StatusInternalServerError, true
	}
	var want taskPayload
	if json.Unmarshal(payload, &want) != nil {
		want = taskPayload{} // a payload of another form asks for nothing
	}
	if want.RunTime == nil {
		d := Duration(wo.se.Services[reply.Service].draw(wo.se.Seed, reply.Task))
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
	wo.add(func(co *WorkerCounters) { co.Refused++ })
	markReplied(req)
	wo.headers(rw, req, true)
	rw.Header().Set(lovagebackend.HeaderNotStarted, "true")
	writeError(rw, http.StatusServiceUnavailable, errors.New("the task was not started"))
}

func (wo *Worker) headers(rw http.ResponseWriter, req *http.Request, notStarted bool) {
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
	own := reply
	if fa.MismatchReplies && wo.last.Task != "" {
		reply = wo.last
	}
	wo.last = own
	wo.mu.Unlock()
	markReplied(req)
	wo.headers(rw, req, false)
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

// waitResumed waits until the worker is not paused; it reports false if the request or the worker ended first.
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
