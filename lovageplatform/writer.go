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

// operationPrefix begins the key of the row that holds the last operation of a writer.
const operationPrefix = "operation/"

// maxLanded bounds the number of settled transactions whose result is kept for a repeated Commit.
const maxLanded = 256

// Table is the part of a platform that a Writer uses.
type Table interface {
	Read(ctx context.Context, keys ...string) ([]Row, error)
	Commit(ctx context.Context, tx Transaction) (CommitResult, error)
}

// WriterSettings configures a Writer. Zero fields take the default named beside them.
type WriterSettings struct {
	MinBackoff time.Duration // pause after the first failed attempt, 20 ms; it doubles with each further one
	MaxBackoff time.Duration // longest pause between attempts, 500 ms
}

// Writer commits transactions so that the loss of a reply or a delayed request can neither hide nor repeat a write.
//
// The first transaction of a writer creates its row and does nothing else; every later one checks the row at a version
// above 0. If the row is deleted after the process has ended, a commit of the process that arrives later still can
// create the row again, but do nothing else.
//
// Every transaction also checks and writes the row operation/<name>, which holds the ID of the last operation. An
// attempt that failed is sent again with the same ID; if it had taken effect, the check of that row fails and the row
// holds the ID. Transactions of one writer are serialised. Only one live process may use a name.
type Writer struct {
	table Table
	key   string
	se    WriterSettings
	lock  chan struct{} // holds one token while the writer is free; a channel, so that waiting obeys the context

	// The fields below belong to the holder of the token.
	nonce   string
	count   uint64
	known   bool  // version is that of the operation row
	version int64 // version the next transaction checks; above 0 if known
	deleted bool  // the row was deleted after it had been created
	pending *pendingOperation
	landed  map[string]CommitResult // results of settled transactions whose Commit ended as ambiguous
}

// pendingOperation is a transaction that was sent and whose effect is not known. It checks Writer.version.
type pendingOperation struct {
	tx     Transaction
	fences map[string]bool // IDs of fences sent to stop it
}

// NewWriter returns a writer for the row operation/<name>. The name is that of the instance.
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
		nonce: hex.EncodeToString(random[:]), landed: map[string]CommitResult{},
	}
	wr.lock <- struct{}{}
	return wr
}

// Commit commits the transaction and waits until its effect is known or ctx ends.
//
// Without an error the result is final: committed, or the conflicting rows. An error that matches ErrAmbiguous means
// that ctx ended first and the transaction may still take effect; the next Commit or Settle first finds out, and
// after that it can no longer take effect late. Any other error means that it had and will have no effect. An error that
// matches ErrRowDeleted means that no further transaction of this writer can take effect.
//
// An empty operation ID is replaced by a fresh one. An ID must never be given to two different transactions. The
// transaction of an ambiguous end may be committed again with its ID: it is then applied only if it was not before.
//
// Versions of the result holds the written rows. If the reply was lost, it holds only those of them that the
// transaction also checked, because the version of another row at that moment is not known.
func (wr *Writer) Commit(ctx context.Context, tx Transaction) (CommitResult, error) {
	if err := wr.acquire(ctx, "commit"); err != nil {
		return CommitResult{}, err
	}
	defer func() { wr.lock <- struct{}{} }()
	if tx.OperationID == "" {
		tx.OperationID = wr.newID("")
	}
	for _, it := range tx.Writes {
		if it.Key == wr.key {
			return CommitResult{}, &Error{
				Operation: "commit", Effect: EffectNotSent, Err: errors.Newf("row %q belongs to the writer", wr.key),
			}
		}
	}
	if err := wr.settle(ctx); err != nil {
		return CommitResult{}, conclude("commit", EffectNotSent, err)
	}
	if res, ok := wr.landed[tx.OperationID]; ok {
		delete(wr.landed, tx.OperationID)
		return res, nil
	}
	if err := wr.load(ctx); err != nil {
		return CommitResult{}, conclude("commit", EffectNotSent, err)
	}
	return wr.send(ctx, tx)
}

// Settle waits until no earlier transaction of this writer can take effect any more or ctx ends. It reports the ID of
// the transaction whose Commit ended as ambiguous, if there was one, and whether it took effect.
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
		return operationID, false, conclude("settle", EffectAmbiguous, err)
	}
	_, committed = wr.landed[operationID]
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

func (wr *Writer) newID(suffix string) string {
	wr.count++
	return wr.nonce + "-" + strconv.FormatUint(wr.count, 10) + suffix
}

// load makes sure that the operation row exists and its version is known.
func (wr *Writer) load(ctx context.Context) error {
	if wr.deleted {
		return errors.Wrapf(ErrRowDeleted, "row %q", wr.key)
	}
	for pause := wr.se.MinBackoff; !wr.known; pause = wr.nextPause(pause) {
		err := wr.create(ctx)
		if err != nil && !wait(ctx, pause) {
			return errors.Wrapf(err, "create row %q", wr.key)
		}
	}
	return nil
}

// create attempts the first transaction. It can be repeated: a repeat finds the row and has no effect.
func (wr *Writer) create(ctx context.Context) error {
	id := wr.newID("-create")
	res, err := wr.table.Commit(ctx, Transaction{
		OperationID: id, Checks: []Check{{Key: wr.key}}, Writes: []Write{{Key: wr.key, Value: []byte(id)}},
	})
	switch {
	case err != nil:
		return err
	case res.Committed:
		wr.version, wr.known = 1, true
		return nil
	}
	for _, ro := range res.Conflicts {
		if ro.Key == wr.key && ro.Version > 0 {
			wr.version, wr.known = ro.Version, true
			return nil
		}
	}
	return errors.Newf("the conflict does not hold row %q", wr.key)
}

// gone reports whether the row, as a conflict shows it, was deleted since it was at the version: versions only rise
// while a row exists, and a late first transaction creates it at version 1.
func (wr *Writer) gone(ro Row, version int64) bool {
	wr.deleted = wr.deleted || ro.Version < version
	return wr.deleted
}

// rowDeleted is the error of a transaction that found the row deleted. Whether an earlier attempt of it took effect
// before that cannot be told.
func (wr *Writer) rowDeleted(unsure bool) error {
	effect := EffectRefused
	if unsure {
		effect = EffectAmbiguous
	}
	return &Error{Operation: "commit", Effect: effect, Err: errors.Wrapf(ErrRowDeleted, "row %q", wr.key)}
}

// send attempts the transaction until its effect is known or ctx ends.
func (wr *Writer) send(ctx context.Context, tx Transaction) (CommitResult, error) {
	unsure := false // an earlier attempt may have taken effect or may do so later
	for pause := wr.se.MinBackoff; ; pause = wr.nextPause(pause) {
		res, err := wr.table.Commit(ctx, wr.extend(tx, tx.OperationID))
		if err == nil && res.Committed {
			return wr.accepted(res), nil
		}
		if err == nil {
			final, own, err := wr.judge(tx, res, unsure)
			switch {
			case err != nil || own:
				return final, err
			case len(final.Conflicts) == 0:
				unsure = false // no earlier attempt can land, since the row is past the version that they check
			case !unsure:
				return final, nil
			default:
				return wr.stop(ctx, tx, final, nil)
			}
			if ctx.Err() != nil {
				return CommitResult{}, &Error{Operation: "commit", Effect: EffectNotSent, Err: ctx.Err()}
			}
			continue
		}
		switch effectOf(err) {
		case EffectAmbiguous:
			unsure = true
		case EffectRefused:
			if throttled(err) {
				break
			}
			if unsure {
				return wr.stop(ctx, tx, CommitResult{}, err)
			}
			return CommitResult{}, err
		case EffectNotSent:
		}
		if !wait(ctx, pause) {
			if !unsure {
				return CommitResult{}, conclude("commit", EffectNotSent, err)
			}
			wr.pending = &pendingOperation{tx: tx, fences: map[string]bool{}}
			return CommitResult{}, conclude("commit", EffectAmbiguous, err)
		}
	}
}

// extend adds the check and the write of the operation row.
func (wr *Writer) extend(tx Transaction, id string) Transaction {
	out := Transaction{OperationID: id}
	out.Checks = append(append(out.Checks, tx.Checks...), Check{Key: wr.key, Version: wr.version})
	out.Writes = append(append(out.Writes, tx.Writes...), Write{Key: wr.key, Value: []byte(id)})
	return out
}

// accepted notes the new version of the operation row and removes the row from the result.
func (wr *Writer) accepted(res CommitResult) CommitResult {
	wr.version++
	delete(res.Versions, wr.key)
	return res
}

// judge reads a conflict. own means that an earlier attempt of this transaction took effect. A result without
// conflicts means that only the operation row was out of date; its version is then corrected.
func (wr *Writer) judge(tx Transaction, res CommitResult, unsure bool) (final CommitResult, own bool, err error) {
	at := -1
	for i, ro := range res.Conflicts {
		if ro.Key == wr.key {
			at = i
		} else {
			final.Conflicts = append(final.Conflicts, ro)
		}
	}
	if at < 0 {
		return final, false, nil
	}
	ro := res.Conflicts[at]
	checked := wr.version
	if wr.gone(ro, checked) {
		return CommitResult{}, false, wr.rowDeleted(unsure)
	}
	wr.version = ro.Version
	if string(ro.Value) == tx.OperationID {
		return recovered(tx), true, nil
	}
	if unsure && ro.Version != checked+1 {
		// The row was written more than once since it was checked, so another process uses the name. Whether one of
		// the writes was this transaction cannot be told.
		return CommitResult{}, false, &Error{
			Operation: "commit", Effect: EffectAmbiguous,
			Err: errors.Newf("row %q went from version %d to %d, another process writes it", wr.key, checked, ro.Version),
		}
	}
	return CommitResult{}, false, nil
}

// recovered builds the result of a transaction whose reply was lost.
func recovered(tx Transaction) CommitResult {
	checked := make(map[string]int64, len(tx.Checks))
	for _, ch := range tx.Checks {
		checked[ch.Key] = ch.Version
	}
	res := CommitResult{Committed: true, Versions: map[string]int64{}}
	for _, it := range tx.Writes {
		if it.Delete {
			res.Versions[it.Key] = 0
		} else if version, ok := checked[it.Key]; ok {
			res.Versions[it.Key] = version + 1
		}
	}
	return res
}

// stop ends a transaction that conflicts or is refused while an earlier attempt may still be on its way: a row that
// conflicts now may be deleted, after which the delayed attempt would take effect.
func (wr *Writer) stop(ctx context.Context, tx Transaction, conflict CommitResult, cause error) (CommitResult, error) {
	wr.pending = &pendingOperation{tx: tx, fences: map[string]bool{}}
	if err := wr.settle(ctx); err != nil {
		return CommitResult{}, conclude("commit", EffectAmbiguous, err)
	}
	if res, ok := wr.landed[tx.OperationID]; ok {
		delete(wr.landed, tx.OperationID)
		return res, nil
	}
	return conflict, cause
}

// settle makes sure that the pending transaction cannot take effect any more: it commits a fence, which checks the
// same version of the operation row, so only one of the two can ever be applied.
func (wr *Writer) settle(ctx context.Context) error {
	pe := wr.pending
	if pe == nil {
		return nil
	}
	id := wr.newID("-fence")
	pe.fences[id] = true
	for pause := wr.se.MinBackoff; ; pause = wr.nextPause(pause) {
		res, err := wr.table.Commit(ctx, wr.extend(Transaction{}, id))
		if err == nil && res.Committed {
			wr.version++
			wr.pending = nil
			return nil
		}
		if err == nil {
			for _, ro := range res.Conflicts {
				if ro.Key == wr.key {
					return wr.settled(pe, ro)
				}
			}
			err = errors.Newf("conflict of a fence does not hold row %q", wr.key)
		}
		if !wait(ctx, pause) {
			return errors.Wrapf(err, "settle operation %q", pe.tx.OperationID)
		}
	}
}

// settled concludes from the current operation row what became of the pending transaction.
func (wr *Writer) settled(pe *pendingOperation, ro Row) error {
	checked := wr.version
	wr.pending = nil
	if wr.gone(ro, checked) {
		return errors.Wrapf(ErrRowDeleted, "what became of operation %q is not known: row %q", pe.tx.OperationID, wr.key)
	}
	wr.version = ro.Version
	switch {
	case string(ro.Value) == pe.tx.OperationID:
		if len(wr.landed) >= maxLanded {
			clear(wr.landed)
		}
		wr.landed[pe.tx.OperationID] = recovered(pe.tx)
	case pe.fences[string(ro.Value)]:
	case ro.Version != checked+1:
		return errors.Newf("row %q went from version %d to %d, another process writes it: what became of operation %q is not known",
			wr.key, checked, ro.Version, pe.tx.OperationID)
	}
	return nil
}

func (wr *Writer) nextPause(pause time.Duration) time.Duration { return min(2*pause, wr.se.MaxBackoff) }

// throttled reports whether the platform refused only because of its limit of requests per second.
func throttled(err error) bool {
	var er *Error
	return errors.As(err, &er) && er.Status == http.StatusTooManyRequests
}

// wait pauses for d and reports whether ctx still lasts.
func wait(ctx context.Context, d time.Duration) bool {
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
