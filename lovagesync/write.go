package lovagesync

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"lovagestack/lovageplatform"
	"lovagestack/lovageresource"
)

// maxWriteAttempts is the maximum number of attempts to build and commit a change. An attempt fails if another change is
// accepted first; at 8,200 changes a day, more than a few such failures in a row are unlikely.
const maxWriteAttempts = 16

// Put creates the resource if its revision is 0, and otherwise replaces it at that revision. The resource must be valid.
// Every outcome except WriteAmbiguous states whether the change was written.
func (sy *Syncer) Put(ctx context.Context, re lovageresource.Resource) lovageresource.WriteResult {
	key := lovageresource.ResourceKey(re.Kind, re.Name)
	return sy.write(ctx, key, func(head, row lovageplatform.Row) (lovageplatform.Transaction, lovageresource.Change, error) {
		current, exists, err := lovageresource.ParseResource(row)
		if err != nil {
			return lovageplatform.Transaction{}, lovageresource.Change{}, err
		}
		if exists && current.SameDeclaration(&re) {
			return lovageplatform.Transaction{}, lovageresource.Change{}, &unchangedError{revision: current.Revision}
		}
		return lovageresource.BuildPut("", head, row, re)
	})
}

// Delete deletes the resource at the revision. Otherwise it is like Put.
func (sy *Syncer) Delete(ctx context.Context, kind lovageresource.Kind, name string, revision int64) lovageresource.WriteResult {
	key := lovageresource.ResourceKey(kind, name)
	return sy.write(ctx, key, func(head, row lovageplatform.Row) (lovageplatform.Transaction, lovageresource.Change, error) {
		return lovageresource.BuildDelete("", head, row, kind, name, revision)
	})
}

// unchangedError is returned for a write that would change nothing, for example because the reply to an earlier attempt
// was lost.
type unchangedError struct{ revision int64 }

func (er *unchangedError) Error() string { return fmt.Sprintf("unchanged at revision %d", er.revision) }

type buildFunc func(head, row lovageplatform.Row) (lovageplatform.Transaction, lovageresource.Change, error)

// write commits one change. It continues if the operator disconnects, because the outcome would otherwise be ambiguous
// without need.
func (sy *Syncer) write(ctx context.Context, key string, build buildFunc) lovageresource.WriteResult {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), sy.WriteTimeout)
	defer cancel()
	select {
	case sy.writeSem <- struct{}{}:
		defer func() { <-sy.writeSem }()
	case <-ctx.Done():
		return unavailable(errors.New("earlier changes are still being written"))
	}
	for range maxWriteAttempts {
		rows, err := sy.readRows(ctx, lovageresource.HeadKey, key)
		if err != nil {
			return unavailable(err)
		}
		tx, ch, err := build(rows[0], rows[1])
		var unchanged *unchangedError
		var conflict *lovageresource.ConflictError
		switch {
		case errors.As(err, &unchanged):
			return lovageresource.WriteResult{Outcome: lovageresource.WriteUnchanged, Revision: unchanged.revision}
		case errors.As(err, &conflict):
			return lovageresource.WriteResult{
				Outcome: lovageresource.WriteConflict, Revision: conflict.Current, Reason: conflict.Error(),
			}
		case err != nil:
			return unavailable(err)
		}
		res, err := sy.Writer.Commit(ctx, tx)
		switch {
		case err != nil && ambiguous(err):
			return lovageresource.WriteResult{
				Outcome: lovageresource.WriteAmbiguous,
				Reason: fmt.Sprintf("it is not known whether the change was written as revision %d; read the resource "+
					"before trying again: %v", ch.Revision, err),
			}
		case err != nil:
			return unavailable(err)
		case res.Committed:
			sy.applyAccepted(ctx, ch)
			return lovageresource.WriteResult{Outcome: lovageresource.WriteAccepted, Revision: ch.Revision}
		}
	}
	return unavailable(errors.Newf("other changes were accepted first %d times in a row", maxWriteAttempts))
}

// applyAccepted applies an accepted change to the store and starts to push it to peers. If earlier changes are missing and
// cannot be read now, the next poll reads them.
func (sy *Syncer) applyAccepted(ctx context.Context, ch lovageresource.Change) {
	sy.mu.Lock()
	sy.lastAccepted = max(sy.lastAccepted, ch.Revision)
	sy.mu.Unlock()
	if err := sy.Store.Apply(ch); err != nil {
		if err := sy.catchUp(ctx, ch.Revision); err != nil {
			sy.tableFailures.Inc(1)
		}
	}
	sy.pusher.schedule(sy.Peers.PushTargets(""))
}

// unavailable returns the result for a change that was not written.
func unavailable(err error) lovageresource.WriteResult {
	return lovageresource.WriteResult{
		Outcome: lovageresource.WriteUnavailable, Reason: "nothing was written; try again later: " + err.Error(),
	}
}

// ambiguous reports whether the transaction may have taken effect, given the error of Writer.Commit. Only ErrNotSent and
// ErrRefused state that it did not.
func ambiguous(err error) bool {
	return !errors.Is(err, lovageplatform.ErrNotSent) && !errors.Is(err, lovageplatform.ErrRefused)
}
