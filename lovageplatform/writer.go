package lovageplatform

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// operationPrefix is the key prefix of the rows that hold the last operation of each writer.
const operationPrefix = "operation/"

// maxRecovered is the maximum number of settled transactions whose results are kept for a repeated Commit. The oldest are
// dropped first.
const maxRecovered = 256

// Table is the part of a platform that a Writer uses.
type Table interface {
	Read(ctx context.Context, keys ...string) ([]Row, error)
	Commit(ctx context.Context, tx Transaction) (CommitResult, error)
}

// WriterSettings configures a Writer. Zero fields take the default named beside them.
type WriterSettings struct {
	MinBackoff time.Duration // pause after the first failed attempt, default 20 ms; doubles with each further one
	MaxBackoff time.Duration // longest pause between attempts, default 500 ms
}

// Writer commits each transaction at most once and finds out whether it took effect, even if replies are lost or
// requests are delayed.
//
// Every transaction also checks and writes the operation row operation/<name>, which holds the ID of the last
// operation. A failed attempt is sent again with the same ID. If the failed attempt took effect, the new attempt's
// check of the operation row fails and the row holds the ID. Transactions of one writer are serialised. Only one live
// process may use a name.
//
// The first transaction of a writer only creates the operation row; every later one checks the row at a version above
// 0. The row may be deleted after the process has ended. A delayed commit of the process can then at most create the
// row again.
type Writer struct {
	table Table
	key   string
	se    WriterSettings
	lock  chan struct{} // holds one token while the writer is idle; a channel, so that waiting ends with the context

	// Only the holder of the token may use the fields below.
	nonce        string // random prefix of new operation IDs
	sequence     uint64 // number of the last new operation ID
	versionKnown bool   // whether version is that of the operation row
	version      int64  // version of the operation row that the next transaction checks; above 0 if known
	deleted      bool   // whether the operation row was deleted after it had been created
	pending      *pendingTransaction
	recovered    map[string]CommitResult // results of settled transactions that took effect, by operation ID
	recoveredIDs []string                // keys of recovered, and IDs of results that were used, oldest first
}

// pendingTransaction is a transaction that was sent and whose effect is unknown. It checks the operation row at
// Writer.version.
type pendingTransaction struct {
	tx     Transaction
	fences map[string]bool // IDs of the fences sent to stop tx; see settle
}

// NewWriter returns a writer for the operation row operation/<name>. The name is that of the instance.
func NewWriter(table Table, name string, se WriterSettings) *Writer {
	if se.MinBackoff <= 0 {
		se.MinBackoff = 20 * time.Millisecond
	}
	if se.MaxBackoff < se.MinBackoff {
		se.MaxBackoff = max(se.MinBackoff, 500*time.Millisecond)
	}
	var random [8]byte
	_, _ = rand.Read(random[:]) // crypto/rand never fails
	wr := &Writer{
		table: table, key: operationPrefix + name, se: se, lock: make(chan struct{}, 1),
		nonce: hex.EncodeToString(random[:]), recovered: map[string]CommitResult{},
	}
	wr.lock <- struct{}{}
	return wr
}

// Commit commits the transaction and waits until its effect is known or ctx ends.
//
// Without an error the result is final: committed, or the conflicting rows. An error that matches ErrAmbiguous means
// that the transaction may have taken effect. If ctx ended first, the transaction may also take effect later, until the
// next Commit or Settle prevents that. After any other error, it had no effect and will have none. An error that matches
// ErrRowDeleted means that no further transaction of this writer can take effect.
//
// Commit replaces an empty operation ID by a new one. Two different transactions must never have the same ID. After an
// ambiguous result, the transaction may be committed again with its ID. It then has no effect if it had one before,
// unless 256 other transactions of the writer took effect with a lost reply in between.
//
// The result's Versions holds the written rows. If the reply was lost, it holds only those that the transaction deleted
// or also checked, because the new versions of the others are unknown.
func (wr *Writer) Commit(ctx context.Context, tx Transaction) (CommitResult, error) {
	if err := wr.acquire(ctx, "commit"); err != nil {
		return CommitResult{}, err
	}
	defer func() { wr.lock <- struct{}{} }()
	if tx.OperationID == "" {
		tx.OperationID = wr.newOperationID("")
	}
	for _, write := range tx.Writes {
		if write.Key == wr.key {
			return CommitResult{}, &Error{
				Operation: "commit", Effect: EffectNotSent, Err: errors.Newf("row %q belongs to the writer", wr.key),
			}
		}
	}
	if err := wr.settle(ctx); err != nil {
		return CommitResult{}, transactionError("commit", EffectNotSent, err)
	}
	if res, ok := wr.recovered[tx.OperationID]; ok {
		delete(wr.recovered, tx.OperationID)
		return res, nil
	}
	if err := wr.ensureRow(ctx); err != nil {
		return CommitResult{}, transactionError("commit", EffectNotSent, err)
	}
	return wr.send(ctx, tx)
}

// Settle waits until no earlier transaction of this writer can take effect any more, or ctx ends. It returns the ID of
// the transaction whose effect was still unknown, if there was one, and whether that transaction took effect.
func (wr *Writer) Settle(ctx context.Context) (operationID string, committed bool, err error) {
	if err := wr.acquire(ctx, "settle"); err != nil {
		return "", false, err
	}
	defer func() { wr.lock <- struct{}{} }()
	if wr.pending == nil {
		return "", false, nil
	}
	operationID = wr.pending.tx.OperationID
	if err := wr.settle(ctx); err != nil {
		return operationID, false, transactionError("settle", EffectAmbiguous, err)
	}
	_, committed = wr.recovered[operationID]
	return operationID, committed, nil
}

func (wr *Writer) acquire(ctx context.Context, operation string) error {
	select {
	case <-wr.lock:
		return nil
	case <-ctx.Done():
		return &Error{Operation: operation, Effect: EffectNotSent, Err: ctx.Err()}
	}
}

func (wr *Writer) newOperationID(suffix string) string {
	wr.sequence++
	return wr.nonce + "-" + strconv.FormatUint(wr.sequence, 10) + suffix
}

// ensureRow makes sure that the operation row exists and that its version is known.
func (wr *Writer) ensureRow(ctx context.Context) error {
	if wr.deleted {
		return errors.Wrapf(ErrRowDeleted, "row %q", wr.key)
	}
	for backoff := wr.se.MinBackoff; !wr.versionKnown; backoff = wr.nextBackoff(backoff) {
		err := wr.createRow(ctx)
		if err != nil && !sleep(ctx, backoff) {
			return errors.Wrapf(err, "create row %q", wr.key)
		}
	}
	return nil
}

// createRow makes one attempt to create the operation row. If an earlier attempt created the row, this one finds it
// and has no effect.
func (wr *Writer) createRow(ctx context.Context) error {
	id := wr.newOperationID("-create")
	res, err := wr.table.Commit(ctx, Transaction{
		OperationID: id, Checks: []Check{{Key: wr.key}}, Writes: []Write{{Key: wr.key, Value: []byte(id)}},
	})
	switch {
	case err != nil:
		return err
	case res.Committed:
		wr.version, wr.versionKnown = 1, true
		return nil
	}
	for _, ro := range res.Conflicts {
		if ro.Key == wr.key && ro.Version > 0 {
			wr.version, wr.versionKnown = ro.Version, true
			return nil
		}
	}
	return errors.Newf("the conflict does not hold row %q", wr.key)
}

// checkDeleted records and reports whether the operation row was deleted after it had the version. ro is the operation
// row in a conflict. A lower version shows the deletion, because versions only rise while a row exists, and a delayed
// first transaction creates the row at version 1.
func (wr *Writer) checkDeleted(ro Row, version int64) bool {
	wr.deleted = wr.deleted || ro.Version < version
	return wr.deleted
}

// rowDeletedError returns the error of a transaction that found the operation row deleted. The row no longer shows
// whether an earlier attempt took effect, so an ambiguous attempt stays ambiguous.
func (wr *Writer) rowDeletedError(ambiguous bool) error {
	effect := EffectRefused
	if ambiguous {
		effect = EffectAmbiguous
	}
	return &Error{Operation: "commit", Effect: effect, Err: errors.Wrapf(ErrRowDeleted, "row %q", wr.key)}
}

// send attempts the transaction until its effect is known or ctx ends.
func (wr *Writer) send(ctx context.Context, tx Transaction) (CommitResult, error) {
	ambiguous := false // whether an earlier attempt may have taken effect or may take effect later
	for backoff := wr.se.MinBackoff; ; backoff = wr.nextBackoff(backoff) {
		res, err := wr.table.Commit(ctx, wr.withOperationRow(tx, tx.OperationID))
		if err == nil && res.Committed {
			return wr.recordCommit(res), nil
		}
		if err == nil {
			result, applied, err := wr.resolveConflict(tx, res, ambiguous)
			switch {
			case err != nil || applied:
				return result, err
			case len(result.Conflicts) == 0:
				ambiguous = false // earlier attempts cannot take effect: the row is past the version that they check
			case !ambiguous:
				return result, nil
			default:
				return wr.settleAttempts(ctx, tx, result, nil)
			}
			if ctx.Err() != nil {
				return CommitResult{}, &Error{Operation: "commit", Effect: EffectNotSent, Err: ctx.Err()}
			}
			continue
		}
		switch effectOf(err) {
		case EffectAmbiguous:
			ambiguous = true
		case EffectRefused:
			if isRateLimited(err) {
				break
			}
			if ambiguous {
				return wr.settleAttempts(ctx, tx, CommitResult{}, err)
			}
			return CommitResult{}, err
		case EffectNotSent:
		}
		if !sleep(ctx, backoff) {
			if !ambiguous {
				return CommitResult{}, transactionError("commit", EffectNotSent, err)
			}
			wr.pending = &pendingTransaction{tx: tx, fences: map[string]bool{}}
			return CommitResult{}, transactionError("commit", EffectAmbiguous, err)
		}
	}
}

// withOperationRow returns the transaction with the operation row's check and the write of id to that row added.
func (wr *Writer) withOperationRow(tx Transaction, id string) Transaction {
	out := Transaction{OperationID: id}
	out.Checks = append(append(out.Checks, tx.Checks...), Check{Key: wr.key, Version: wr.version})
	out.Writes = append(append(out.Writes, tx.Writes...), Write{Key: wr.key, Value: []byte(id)})
	return out
}

// recordCommit records the new version of the operation row and removes the row from the result.
func (wr *Writer) recordCommit(res CommitResult) CommitResult {
	wr.version++
	delete(res.Versions, wr.key)
	return res
}

// resolveConflict evaluates a conflict. ambiguous says whether an earlier attempt may have taken effect. If applied is
// true, an earlier attempt did. Otherwise, a result without conflicts means that only wr.version was out of date, and
// resolveConflict has updated it.
func (wr *Writer) resolveConflict(tx Transaction, res CommitResult, ambiguous bool) (result CommitResult, applied bool, err error) {
	index := -1
	for i, ro := range res.Conflicts {
		if ro.Key == wr.key {
			index = i
		} else {
			result.Conflicts = append(result.Conflicts, ro)
		}
	}
	if index < 0 {
		return result, false, nil
	}
	ro := res.Conflicts[index]
	checked := wr.version
	if wr.checkDeleted(ro, checked) {
		return CommitResult{}, false, wr.rowDeletedError(ambiguous)
	}
	wr.version = ro.Version
	if string(ro.Value) == tx.OperationID {
		return recoveredResult(tx), true, nil
	}
	if ambiguous && ro.Version != checked+1 {
		// The row was written more than once since it was checked, so another process uses the name. One of the writes
		// may have been this transaction.
		return CommitResult{}, false, &Error{
			Operation: "commit", Effect: EffectAmbiguous,
			Err: errors.Newf("row %q went from version %d to %d, another process writes it", wr.key, checked, ro.Version),
		}
	}
	return CommitResult{}, false, nil
}

// recoveredResult returns the result of a committed transaction whose reply was lost.
func recoveredResult(tx Transaction) CommitResult {
	checked := make(map[string]int64, len(tx.Checks))
	for _, ch := range tx.Checks {
		checked[ch.Key] = ch.Version
	}
	res := CommitResult{Committed: true, Versions: map[string]int64{}}
	for _, write := range tx.Writes {
		if write.Delete {
			res.Versions[write.Key] = 0
		} else if version, ok := checked[write.Key]; ok {
			res.Versions[write.Key] = version + 1
		}
	}
	return res
}

// settleAttempts settles a transaction that conflicts or is refused while an earlier attempt may still reach the table.
// Otherwise that attempt would take effect if the conflicting row were deleted before the attempt arrives. If the
// transaction had no effect, settleAttempts returns conflict and cause.
func (wr *Writer) settleAttempts(ctx context.Context, tx Transaction, conflict CommitResult, cause error) (CommitResult, error) {
	wr.pending = &pendingTransaction{tx: tx, fences: map[string]bool{}}
	if err := wr.settle(ctx); err != nil {
		return CommitResult{}, transactionError("commit", EffectAmbiguous, err)
	}
	if res, ok := wr.recovered[tx.OperationID]; ok {
		delete(wr.recovered, tx.OperationID)
		return res, nil
	}
	return conflict, cause
}

// settle makes sure that the pending transaction cannot take effect any more. It commits a fence, a transaction that
// only checks and writes the operation row. Both transactions check the same version, so only one can be applied.
func (wr *Writer) settle(ctx context.Context) error {
	pt := wr.pending
	if pt == nil {
		return nil
	}
	id := wr.newOperationID("-fence")
	pt.fences[id] = true
	for backoff := wr.se.MinBackoff; ; backoff = wr.nextBackoff(backoff) {
		res, err := wr.table.Commit(ctx, wr.withOperationRow(Transaction{}, id))
		if err == nil && res.Committed {
			wr.version++
			wr.pending = nil
			return nil
		}
		if err == nil {
			for _, ro := range res.Conflicts {
				if ro.Key == wr.key {
					return wr.resolvePending(pt, ro)
				}
			}
			err = errors.Newf("conflict of a fence does not hold row %q", wr.key)
		}
		if !sleep(ctx, backoff) {
			return errors.Wrapf(err, "settle operation %q", pt.tx.OperationID)
		}
	}
}

// resolvePending finds out from the current operation row whether the pending transaction took effect.
func (wr *Writer) resolvePending(pt *pendingTransaction, ro Row) error {
	checked := wr.version
	wr.pending = nil
	if wr.checkDeleted(ro, checked) {
		return errors.Wrapf(ErrRowDeleted, "the effect of operation %q is unknown: row %q", pt.tx.OperationID, wr.key)
	}
	wr.version = ro.Version
	switch {
	case string(ro.Value) == pt.tx.OperationID:
		if len(wr.recoveredIDs) == maxRecovered {
			delete(wr.recovered, wr.recoveredIDs[0])
			wr.recoveredIDs = append(wr.recoveredIDs[:0], wr.recoveredIDs[1:]...)
		}
		wr.recovered[pt.tx.OperationID] = recoveredResult(pt.tx)
		wr.recoveredIDs = append(wr.recoveredIDs, pt.tx.OperationID)
	case pt.fences[string(ro.Value)]:
	case ro.Version != checked+1:
		return errors.Newf("row %q went from version %d to %d, another process writes it: the effect of operation %q is unknown",
			wr.key, checked, ro.Version, pt.tx.OperationID)
	}
	return nil
}

func (wr *Writer) nextBackoff(backoff time.Duration) time.Duration {
	return min(2*backoff, wr.se.MaxBackoff)
}

// isRateLimited reports whether the platform refused the request because of its limit of requests per second.
func isRateLimited(err error) bool {
	var er *Error
	return errors.As(err, &er) && er.Status == http.StatusTooManyRequests
}

// sleep waits for d and returns true, or returns false as soon as ctx ends.
func sleep(ctx context.Context, d time.Duration) bool {
	if ctx.Err() != nil {
		return false
	}
	ti := time.NewTimer(d)
	defer ti.Stop()
	select {
	case <-ti.C:
		return true
	case <-ctx.Done():
		return false
	}
}
