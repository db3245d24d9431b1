// Package lovagefleet runs an instance in front of workers that take start orders and run tasks under leases.
//
// The workers of a data centre form a domain. One instance owns a domain at a time: it alone orders its workers, under a
// fence that comes from the version of the domain's row in the platform's table. A worker obeys the highest fence that
// it has seen, so an owner that was paused or cut off and has been replaced cannot order any more. Instances find each
// other by rows in the same table, exchange their standing over lovagepeer, and pass each job to the owner in their data
// centre. Owners lend each other tasks when their own workers are full.
//
// Decisions are made elsewhere: lovagepool decides which tasks run where, claim.go decides who owns which domain; both
// do no I/O. One goroutine, loop, owns the pool. Calls to workers, peers and the platform run on goroutines of their own
// and post their results to it.
//
// # Usage
//
//	no := lovagefleet.New(se, lovagefleet.Dependencies{Store: store, Registry: registry, Workers: client, Log: log})
//	go no.Run(ctx)
//	an := no.Submit(ctx, work) // from the server that callers reach
package lovagefleet

import (
	"context"
	"strings"
	"time"

	"go.uber.org/zap"

	"lovagestack/lovageplatform"
	"lovagestack/lovagepool"
)

// Store is the platform's table, for what instances must agree on.
type Store interface {
	Scan(ctx context.Context, prefix string) ([]lovageplatform.Row, error)
	Commit(ctx context.Context, tx lovageplatform.Transaction) (lovageplatform.CommitResult, error)
}

// Registry tells of workers and of the configuration that operators have written.
type Registry interface {
	// Workers returns all registered workers.
	Workers(ctx context.Context) ([]Registered, error)
	// Configuration returns the newest configuration. With a version above 0 it waits up to the given time for a newer
	// one, and returns nil if there is none.
	Configuration(ctx context.Context, after int64, wait time.Duration) (*Configuration, error)
}

// Registered is a worker with its data centre.
type Registered struct {
	lovagepool.Worker
	DataCentre string
}

// Configuration is what operators have declared. Versions only rise.
type Configuration struct {
	Version      int64
	Routes       []Route
	MaxBodyBytes int64 // of a request; 0: no limit
}

// Route is a queue of jobs, selected by host and the longest prefix of the path.
type Route struct {
	Name, Host, PathPrefix, Service string
	Priority, MaxAttempts           int
	SlackFactor                     float64
	TargetLatency                   time.Duration
	Timeout                         time.Duration
	Advised                         bool
}

// Order names a run towards a worker.
type Order struct {
	Worker  string // ID
	Address string
	Fence   int64
	Task    string
	Attempt int
	Spec    string
	Expires int64 // on the worker's clock, milliseconds
}

// Look asks a worker for its runs and the ends after LastSeen, which are then forgotten.
type Look struct {
	Worker   string
	Address  string
	Fence    int64
	Expires  int64 // extends the leases of all runs; on the worker's clock, milliseconds; 0: extends none
	LastSeen int64
	Wait     time.Duration // for an end, if there is none yet
}

// Report is a worker's answer.
type Report struct {
	Clock    int64  // the worker's clock, milliseconds
	Born     int64  // start of the worker's process, 0 if not given
	Rejected Reason // empty: done
	Active   []lovagepool.Active
	Ended    []lovagepool.Ended
	LastEnd  int64 // highest number of an end
}

// Reason is why a worker has rejected an order; it has done nothing.
type Reason string

// Reasons with a name. ReasonFence makes the instance look who owns the domain; the others concern one order.
const (
	ReasonFence    Reason = "fence"    // a higher fence has been seen
	ReasonLifetime Reason = "lifetime" // another process answers at the address
	ReasonOld      Reason = "old"      // a run of the same or a higher number has ended there
	ReasonLate     Reason = "late"     // the lease had run out on arrival
	ReasonRoom     Reason = "room"
	ReasonBad      Reason = "bad"
	ReasonBusy     Reason = "busy" // the worker is unhealthy
)

// ErrRefused marks an error of a WorkerClient: no process listens at the worker's address.
type ErrRefused struct{ Err error }

// Error returns the cause.
func (er ErrRefused) Error() string { return er.Err.Error() }

// Unwrap returns the cause.
func (er ErrRefused) Unwrap() error { return er.Err }

// WorkerClient carries orders to workers. An error means that the order may have been carried out, or may be later,
// unless it is an ErrRefused.
type WorkerClient interface {
	Start(ctx context.Context, or Order) (Report, error)
	Stop(ctx context.Context, or Order) (Report, error)
	Look(ctx context.Context, lo Look) (Report, error)
}

// Log takes lines about decisions. *lovagelog.Logger implements it.
type Log interface {
	Log() *zap.Logger
	Decision(kind string, success bool, fields ...zap.Field)
}

// Answer is the end of a job for its caller.
type Answer struct {
	Outcome lovagepool.Outcome
	Reason  string
	RetryIn time.Duration
}

// Find returns the route of the host with the longest prefix that the path begins with, or nil.
func (co *Configuration) Find(host, path string) *Route {
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
