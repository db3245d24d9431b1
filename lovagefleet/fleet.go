// Package lovagefleet runs a dispatching instance in front of workers that execute tasks under leases.
//
// The workers of a data centre form a domain. Each domain has one owner: only the owner starts and stops tasks on the
// workers. The owner's fence is the version of the domain's row in the platform's table. A worker rejects requests with
// a fence below the highest that it has seen, so an owner that was paused or partitioned and then replaced loses
// control of the workers. Instances find each other by rows in the same table, exchange load reports over lovagepeer,
// and forward each job to the owner in their data centre. An owner whose workers are full offloads tasks to other
// owners.
//
// Decisions do no I/O: lovagepool decides which tasks run where, claim.go which instance owns which domain. One
// goroutine, loop, owns the pool. Calls to workers, peers and the platform run on other goroutines, which post the
// results to loop.
//
// # Usage
//
//	no := lovagefleet.New(se, lovagefleet.Dependencies{Store: store, Registry: registry, Workers: client, Logger: logger})
//	go no.Run(ctx)
//	an := no.Submit(ctx, work)
package lovagefleet

import (
	"context"
	"strings"
	"time"

	"go.uber.org/zap"

	"lovagestack/lovageplatform"
	"lovagestack/lovagepool"
)

// Store is the platform's table, which holds the state on which instances must agree.
type Store interface {
	Scan(ctx context.Context, prefix string) ([]lovageplatform.Row, error)
	Commit(ctx context.Context, tx lovageplatform.Transaction) (lovageplatform.CommitResult, error)
}

// Registry provides the registered workers, the operators' configuration and their requests to evacuate data centres.
type Registry interface {
	// Workers returns all registered workers. An implementation may follow the changes of what it has read before; with whole, it
	// reads all of them again.
	Workers(ctx context.Context, whole bool) ([]RegisteredWorker, error)
	// OperatorRows reads the operators' table: the configuration if its version is above after, and the requests to evacuate data
	// centres. If after is above 0, it may wait up to the given time for a change and return only what has changed since the last call;
	// else it reads all rows. If only the configuration cannot be decoded, it returns the rest beside the error.
	OperatorRows(ctx context.Context, after int64, wait time.Duration) (OperatorRows, error)
}

// RegisteredWorker is a worker with its data centre.
type RegisteredWorker struct {
	lovagepool.Worker
	DataCentre string
}

// Configuration is declared by operators. Its version only increases.
type Configuration struct {
	Version      int64
	Routes       []Route
	MaxBodyBytes int64 // maximum size of a request body; 0 or less: 4 MiB, set in package platform
}

// Route maps requests to a queue of jobs, by host and longest path prefix.
type Route struct {
	Name, Host, PathPrefix, Service string
	Priority, MaxAttempts           int
	SlackFactor                     float64
	TargetLatency                   time.Duration
	Timeout                         time.Duration
	Advised                         bool
}

// RunRequest asks a worker to start or stop a run.
type RunRequest struct {
	Worker  string
	Address string
	Fence   int64
	Task    string
	Attempt int
	Spec    string
	Expires int64 // end of the lease on the worker's clock, milliseconds
	// ProcessStart identifies the process for which a start was decided (lovagepool.Process); 0: any. Not used by stops.
	ProcessStart int64
}

// PollRequest asks a worker for its active and ended runs. The worker numbers its runs as they end: it lists those above
// AckedEnd and forgets the others.
type PollRequest struct {
	Worker   string
	Address  string
	Fence    int64
	Expires  int64 // new end of the runs' leases on the worker's clock, milliseconds; 0: no extension
	AckedEnd int64
	Wait     time.Duration // longest wait for a run to end before the reply
	// ProcessStart identifies the process (lovagepool.Process) to which Expires and AckedEnd belong; 0: any.
	ProcessStart int64
}

// Reply is a worker's reply to a RunRequest or PollRequest.
type Reply struct {
	Clock        int64        // the worker's clock, milliseconds
	ProcessStart int64        // start of the worker's process, Unix milliseconds; 0: not given
	Rejected     RejectReason // empty: the request was accepted
	Active       []lovagepool.ActiveRun
	Ended        []lovagepool.EndedRun
	LastEnd      int64 // highest number of a run in Ended
}

// RejectReason says why a worker rejected a request, which then had no effect.
type RejectReason string

// Known reasons. After RejectFence the instance claims the domain again if the domain's row still names it as owner. The other
// reasons concern a single request.
const (
	RejectFence        RejectReason = "fence"    // the worker has seen a higher fence
	RejectIncarnation  RejectReason = "lifetime" // another worker, or another process of the worker, answers at the address
	RejectStaleAttempt RejectReason = "old"      // the same or a later attempt has ended on the worker
	RejectLeaseExpired RejectReason = "late"     // the lease had expired on arrival
	RejectNoCapacity   RejectReason = "room"
	RejectInvalid      RejectReason = "bad"
	RejectUnhealthy    RejectReason = "busy"      // the worker is unhealthy
	RejectDelayed      RejectReason = "delayed"   // of a start that was not sent, because it was decided too long ago
	RejectEvacuated    RejectReason = "evacuated" // of a start that was not sent, because the worker's data centre is evacuated
)

// ConnectionRefusedError is returned by a WorkerClient if the worker refused the connection, and so did not get the request.
type ConnectionRefusedError struct{ Err error }

// Error returns the message of the cause.
func (ce ConnectionRefusedError) Error() string { return ce.Err.Error() }

// Unwrap returns the cause.
func (ce ConnectionRefusedError) Unwrap() error { return ce.Err }

// WorkerClient sends requests to workers. After an error the request may have taken effect or may still do so, unless
// the error is a ConnectionRefusedError. A start never gets to another process than RunRequest.ProcessStart, not even while the worker
// restarts: it is rejected with RejectIncarnation, and the reply tells the process that answers if that is known. A poll of another process
// than PollRequest.ProcessStart extends no lease and acknowledges no ends.
type WorkerClient interface {
	Start(ctx context.Context, rr RunRequest) (Reply, error)
	Stop(ctx context.Context, rr RunRequest) (Reply, error)
	Poll(ctx context.Context, pr PollRequest) (Reply, error)
}

// Logger writes log entries, those on decisions included. *lovagelog.Logger implements it.
type Logger interface {
	Zap() *zap.Logger
	LogDecision(kind string, success bool, fields ...zap.Field)
}

// Answer is the outcome of a job as reported to its caller.
type Answer struct {
	Outcome lovagepool.Outcome
	Reason  string
	RetryIn time.Duration
}

// Services returns the service of each queue.
func (co *Configuration) Services() map[string]string {
	services := make(map[string]string, len(co.Routes))
	for i := range co.Routes {
		services[co.Routes[i].Name] = co.Routes[i].Service
	}
	return services
}

// FindRoute returns the route of the host with the longest prefix of the path, or nil if none matches.
func (co *Configuration) FindRoute(host, path string) *Route {
	var best *Route
	for i := range co.Routes {
		ro := &co.Routes[i]
		if ro.Host == host && strings.HasPrefix(path, ro.PathPrefix) &&
			(best == nil || len(ro.PathPrefix) > len(best.PathPrefix)) {
			best = ro
		}
	}
	return best
}
