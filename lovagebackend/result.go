package lovagebackend

import (
	"time"

	"github.com/cockroachdb/errors"
)

// State says what became of a task.
type State string

// States of a task.
const (
	// Succeeded: the worker ran the task and replied with a status of 2xx and a whole body.
	Succeeded State = "succeeded"
	// Failed: the worker ran the task and replied with another status, or with a body beyond the limit.
	Failed State = "failed"
	// NotStarted: no byte of the request was written, or the worker says that it did not start the task.
	NotStarted State = "notStarted"
	// Unknown: the task may have started, may still run, and may have ended.
	Unknown State = "unknown"
)

// Errors in Result.Err, to be tested with errors.Is.
var (
	// ErrSilent: the connection stopped answering while others to the same worker answered. It says nothing about the
	// worker.
	ErrSilent = errors.New("connection went silent while others to the worker answered")
	// ErrTaskMismatch: the reply names another task.
	ErrTaskMismatch = errors.New("reply belongs to another task")
	// ErrClosed: the client was closed before the request.
	ErrClosed = errors.New("client is closed")
)

// Request is one task for one worker.
type Request struct {
	Worker   string // ID, for error messages
	Address  string // IP address and port
	MaxConns int    // most connections to the worker, from its limit and the number of instances; 0: as before
	Service  string
	Task     string // key and task index
	Epoch    string
	Deadline time.Time // the request is closed then; zero for none
	Payload  []byte
}

// Result is what became of a task.
type Result struct {
	State   State
	Status  int    // HTTP status, 0 without a reply
	Body    []byte // body of the reply, if it was whole and within the limit
	Leaving bool   // the worker says that it is leaving
	Err     error  // why there is no whole reply; nil otherwise
}

// Counter counts one kind of event. The counters of go-metrics satisfy it.
type Counter interface {
	Inc(n int64)
}

// Counters are told what the client does; nil ones are left out.
type Counters struct {
	ConnectionsOpened     Counter // connections opened
	DialFailures          Counter // connections that could not be opened
	RequestsSent          Counter // requests of which at least one byte was written
	StaleConnections      Counter // reused connections found closed, or with a reply nobody asked for, before a byte was written
	ReplaysPrevented      Counter // requests that were not sent a second time after a part of them had been written
	SilentConnections     Counter // connections closed as silent with a task on them
	IdleConnectionsClosed Counter // idle connections closed because an older request got no answer
	MismatchedReplies     Counter // replies that named another task
}

type noCounter struct{}

func (noCounter) Inc(int64) {}

// fill replaces counters that are nil.
func (co *Counters) fill() {
	for _, it := range []*Counter{
		&co.ConnectionsOpened, &co.DialFailures, &co.RequestsSent, &co.StaleConnections, &co.ReplaysPrevented, &co.SilentConnections, &co.IdleConnectionsClosed, &co.MismatchedReplies,
	} {
		if *it == nil {
			*it = noCounter{}
		}
	}
}
