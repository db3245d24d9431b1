package lovageentry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"lovagestack/lovageledger"
	"lovagestack/lovageplatform"
)

// commitTimeout limits one transaction of the ledger. The effect of a transaction that times out is unknown
// (ambiguous), so the ledger reads the rows again to find out whether the transaction took effect.
const commitTimeout = 3 * time.Second

// tableBacklog is the number of reads that can wait, and also the number of transactions. The ledger has at most a few
// operations outstanding per range.
const tableBacklog = 4096

// tableAccess executes the ledger's table operations, with one goroutine for reads and one for transactions.
type tableAccess struct {
	in      *Instance
	reads   chan lovageledger.ReadTable
	commits chan lovageledger.CommitTable
}

func newTableAccess(in *Instance) *tableAccess {
	return &tableAccess{
		in: in, reads: make(chan lovageledger.ReadTable, tableBacklog), commits: make(chan lovageledger.CommitTable, tableBacklog),
	}
}

// read queues a read of the table. It runs on the control loop and must not block, so a read fails at once if the queue
// is full.
func (ta *tableAccess) read(cm lovageledger.ReadTable) {
	select {
	case ta.reads <- cm:
	default:
		go (&ledgerEvent{in: ta.in, ev: &lovageledger.TableRead{ID: cm.ID, Failed: true}}).run()
	}
}

// commit queues a transaction. If the queue is full, it drops the transaction and reports a conflict to the ledger.
func (ta *tableAccess) commit(cm lovageledger.CommitTable) {
	select {
	case ta.commits <- cm:
	default:
		go (&ledgerEvent{in: ta.in, ev: &lovageledger.TableCommitted{ID: cm.ID, State: lovageledger.Conflict}}).run()
	}
}

type ledgerEvent struct {
	in *Instance
	ev lovageledger.Event
}

// run posts the event.
func (le *ledgerEvent) run() { le.in.control.post(le.in.lifetimeContext(), le) }

func (le *ledgerEvent) apply(lo *controlLoop) { lo.stepLedger(le.ev) }

type tableReader struct{ *tableAccess }

// Serve runs until ctx ends.
func (tr *tableReader) Serve(ctx context.Context) error {
	for {
		select {
		case cm := <-tr.reads:
			rctx, cancel := context.WithTimeout(ctx, tr.in.settings.Platform.Timeout)
			rows, err := tr.in.platform.Scan(rctx, cm.Prefix)
			cancel()
			tr.in.counts.tableReads.Inc(1)
			if err != nil {
				tr.in.counts.tableFailures.Inc(1)
				tr.in.log.Debug("table read failed", zap.String("prefix", cm.Prefix), zap.Error(err))
			}
			le := &ledgerEvent{in: tr.in, ev: &lovageledger.TableRead{ID: cm.ID, Failed: err != nil, Rows: rows}}
			le.run()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

type tableWriter struct{ *tableAccess }

// Serve runs until ctx ends. It writes nothing before the end of the introduction.
func (tw *tableWriter) Serve(ctx context.Context) error {
	select {
	case <-tw.in.control.introduction.done:
	case <-ctx.Done():
		return ctx.Err()
	}
	for {
		select {
		case cm := <-tw.commits:
			le := &ledgerEvent{in: tw.in, ev: tw.commitOne(ctx, cm)}
			le.run()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (tw *tableWriter) commitOne(ctx context.Context, cm lovageledger.CommitTable) *lovageledger.TableCommitted {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	out := &lovageledger.TableCommitted{ID: cm.ID}
	res, err := tw.in.ledgerWriter.Commit(ctx, cm.Transaction)
	tw.in.counts.tableWrites.Inc(1)
	switch {
	case err == nil && res.Committed:
		out.State, out.Versions = lovageledger.Committed, res.Versions
	case err == nil:
		out.State, out.Conflicts = lovageledger.Conflict, res.Conflicts
	case errors.Is(err, lovageplatform.ErrAmbiguous):
		out.State = lovageledger.Ambiguous
	default:
		out.State = lovageledger.Conflict // the Writer guarantees that the transaction had no effect and will have none
	}
	if err != nil {
		tw.in.counts.tableFailures.Inc(1)
		tw.in.log.Debug("table transaction failed", zap.String("state", string(out.State)), zap.Error(err))
	}
	return out
}
