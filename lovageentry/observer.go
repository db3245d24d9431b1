package lovageentry

import (
	"encoding/json"
	"strings"
	"sync"

	"lovagestack/lovageledger"
)

// Step is a point in the handling of a key, a lease or a configuration at which an Observer is called.
type Step string

// Steps. The instance reports each step immediately before its action, unless the step's comment says otherwise.
const (
	StepAccept       Step = "accept"       // the ledger gets a submission from a caller or a peer
	StepForward      Step = "forward"      // a request is forwarded to a peer
	StepQueue        Step = "queue"        // an accepted job enters the dispatch queue
	StepChoose       Step = "choose"       // a worker has been chosen for a task
	StepWriteRequest Step = "writeRequest" // a task is sent to its worker
	StepReadReply    Step = "readReply"    // a task has ended at its worker, but the control loop does not know it yet
	StepAnswer       Step = "answer"       // a caller gets its answer
	StepRenew        Step = "renew"        // the row of this instance's lease is written
	StepTakeOver     Step = "takeOver"     // a range row is written that makes this instance the new owner
	StepHandOver     Step = "handOver"     // a range's records are sent, or only its row is written if the replica has them
	StepApply        Step = "apply"        // a configuration revision reaches the control loop
	StepShutDown     Step = "shutDown"     // a graceful shutdown begins
)

// Observer is notified of the steps that an instance reaches, so that a trial can inject a fault at a step. The
// instance calls Reached on the goroutine that takes the step, often the control loop. That goroutine waits until
// Reached returns.
type Observer interface {
	Reached(st Step)
}

func (in *Instance) reportStep(st Step) {
	if in.observer != nil {
		in.observer.Reached(st)
	}
}

// reportLedgerStep reports the lease renewals, take-overs and hand-overs in a transaction of the ledger.
func (lo *controlLoop) reportLedgerStep(cm lovageledger.CommitTable) {
	if lo.in.observer == nil {
		return
	}
	for _, wr := range cm.Transaction.Writes {
		switch {
		case wr.Delete:
		case strings.HasPrefix(wr.Key, "instance/"):
			lo.in.reportStep(StepRenew)
		case strings.HasPrefix(wr.Key, "range/"):
			var row lovageledger.RangeRow
			if json.Unmarshal(wr.Value, &row) != nil {
				continue
			}
			isOwner := lo.ownsRange(wr.Key)
			switch {
			case row.Owner == lo.in.id && row.Epoch > 1 && !isOwner:
				lo.in.reportStep(StepTakeOver)
			case row.Owner != lo.in.id && row.Owner != "" && isOwner:
				lo.in.reportStep(StepHandOver)
			}
		}
	}
}

func (lo *controlLoop) ownsRange(key string) bool {
	for _, rs := range lo.ledger.Ranges() {
		if rs.Range.String() == key {
			return true
		}
	}
	return false
}

// Kill stops the instance without a hand-over, as a crash of its process would. Serve then returns an error. Kill is
// meant for trials.
func (in *Instance) Kill() { in.cancelLifetime() }

// Pause blocks the control loop and holds back the answers to callers and peers until resume is called, as if the
// process were stopped. It is meant for trials. The trial itself must hold back the bytes that the kernel would hold
// back for a stopped process.
func (in *Instance) Pause() (resume func()) {
	pa := &pause{resumed: make(chan struct{}), stopped: in.stopped}
	in.pause.set(pa)
	go pa.run(in)
	var once sync.Once
	return func() {
		once.Do(func() {
			in.pause.set(nil)
			close(pa.resumed)
		})
	}
}

type pause struct {
	resumed chan struct{}
	stopped <-chan struct{}
}

func (pa *pause) run(in *Instance) { in.control.post(in.lifetimeContext(), pa) }

func (pa *pause) apply(*controlLoop) { pa.wait() }

func (pa *pause) wait() {
	select {
	case <-pa.resumed:
	case <-pa.stopped:
	}
}

type pauseGate struct {
	mu      sync.Mutex
	current *pause
}

func (pg *pauseGate) set(pa *pause) {
	pg.mu.Lock()
	defer pg.mu.Unlock()
	pg.current = pa
}

// wait blocks while the instance is paused and has not stopped.
func (pg *pauseGate) wait() {
	pg.mu.Lock()
	pa := pg.current
	pg.mu.Unlock()
	if pa != nil {
		pa.wait()
	}
}
