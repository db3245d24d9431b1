package lovagebackend

import (
	"time"

	"github.com/cockroachdb/errors"
)

// State is the outcome of a task.
type State string

// States of a task.
const (
	// Succeeded means that the worker ran the task and replied with a 2xx status and a complete body.
	Succeeded State = "succeeded"
	// Failed means that the worker replied with another status, or with a body over the limit. The task counts as
	// started.
	Failed State = "failed"
	// NotStarted means that no byte of the request was written, or that the worker reported that it did not start the
	// task.
	NotStarted State = "notStarted"
	// Unknown means that the task may have started; it may still be running or may have ended.
	Unknown State = "unknown"
)

// Errors in Result.Err, for use with errors.Is.
var (
	// ErrSilent means that the connection got no reply while other connections to the worker did. It does not imply that
	// the worker has failed.
	ErrSilent = errors.New("connection went silent while others to the worker answered")
	// ErrTaskMismatch means that the reply names another task.
	ErrTaskMismatch = errors.New("reply belongs to another task")
	// ErrClosed means that the client was closed before the request.
	ErrClosed = errors.New("client is closed")
)

// Request is one task for one worker.
type Request struct {
	Worker   string // ID of the worker, for error messages
	Address  string // IP address and port of the worker
	MaxConns int    // maximum number of connections to the worker for this client; 0 keeps the last one or Settings.MaxConns
	Service  string
	Task     string    // key and task index
	Epoch    string    // epoch of the key's range
	Deadline time.Time // time at which Run abandons the request; zero means never
	Payload  []byte
}

// Result is the outcome of Run.
type Result struct {
	State   State
	Status  int    // HTTP status, 0 without a reply
	Body    []byte // body of the reply, if it was complete and within the limit
	Leaving bool   // the worker reported that it is leaving
	Err     error  // why there is no complete and matching reply; nil otherwise
}

// Counter counts events of one kind. The counters of go-metrics satisfy it.
type Counter interface {
	Inc(n int64)
}

// Counters holds the counters of a Client. Nil counters are ignored.
type Counters struct {
	ConnectionsOpened     Counter
	DialFailures          Counter
	RequestsSent          Counter // requests of which at least one byte was written
	StaleConnections      Counter // reused connections found closed, or with an unsolicited reply, before a write
	ReplaysPrevented      Counter // retries by http.Transport that were prevented because the request was partly written
	SilentConnections     Counter // connections closed as silent while they carried a task
	IdleConnectionsClosed Counter // idle connections closed because an older request got no answer
	MismatchedReplies     Counter // replies that named another task
}

type nopCounter struct{}

func (nopCounter) Inc(int64) {}

// setDefaults replaces nil counters.
func (co *Counters) setDefaults() {
	for _, counter := range []*Counter{
		&co.ConnectionsOpened, &co.DialFailures, &co.RequestsSent, &co.StaleConnections, &co.ReplaysPrevented, &co.SilentConnections, &co.IdleConnectionsClosed, &co.MismatchedReplies,
	} {
		if *counter == nil {
			*counter = nopCounter{}
		}
	}
}
