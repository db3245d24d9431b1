package lovagesync

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"lovagestack/lovageplatform"
	"lovagestack/lovageresource"
)

// headRaces bounds how often a change is built anew because another change was accepted first. Each loss means that
// another operator won; 8,200 changes a day make more than a few in a row unlikely.
const headRaces = 16

// Put creates the resource, if its revision is 0, or replaces it at that revision. The resource must be valid. The
// result is definite: unless it is Ambiguous, it says whether the change was written.
func (sy *Syncer) Put(ctx context.Context, re lovageresource.Resource) lovageresource.WriteResult {
	key := lovageresource.ResourceKey(re.Kind, re.Name)
	return sy.write(ctx, key, func(head, row lovageplatform.Row) (lovageplatform.Transaction, lovageresource.Change, error) {
		current, exists, err := lovageresource.ParseResource(row)
		if err != nil {
			return lovageplatform.Transaction{}, lovageresource.Change{}, err
		}
		if exists && current.SameState(&re) {
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

// unchangedError ends a write whose result is there already, for example because an earlier attempt's reply was lost.
type unchangedError struct{ revision int64 }

func (er *unchangedError) Error() string { return fmt.Sprintf("unchanged at revision %d", er.revision) }

type builder func(head, row lovageplatform.Row) (lovageplatform.Transaction, lovageresource.Change, error)

// write commits one change. It goes on when the operator's connection ends, as the result would otherwise be
// ambiguous for no reason.
func (sy *Syncer) write(ctx context.Context, key string, build builder) lovageresource.WriteResult {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), sy.WriteTimeout)
	defer cancel()
	select {
	case sy.writing <- struct{}{}:
		defer func() { <-sy.writing }()
	case <-ctx.Done():
		return unavailable(errors.New("earlier changes are still being written"))
	}
	for range headRaces {
		rows, err := sy.read(ctx, lovageresource.HeadKey, key)
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
			sy.commit(ctx, ch)
			return lovageresource.WriteResult{Outcome: lovageresource.WriteAccepted, Revision: ch.Revision}
		}
	}
	return unavailable(errors.Newf("other changes were accepted first %d times in a row", headRaces))
}

// commit applies an accepted change here and starts to push it to peers. If earlier changes are missing here and
// cannot be read now, the next poll gets them.
func (sy *Syncer) commit(ctx context.Context, ch lovageresource.Change) {
	sy.mu.Lock()
	sy.accepted = max(sy.accepted, ch.Revision)
	sy.mu.Unlock()
	if err := sy.Store.Apply(ch); err != nil {
		if err := sy.catchUp(ctx, ch.Revision); err != nil {
			sy.tableFailed.Inc(1)
		}
	}
	sy.push.start(sy.Peers.PushTargets(""))
}

// unavailable says that nothing was written.
func unavailable(err error) lovageresource.WriteResult {
	return lovageresource.WriteResult{
		Outcome: lovageresource.WriteUnavailable, Reason: "nothing was written; try again later: " + err.Error(),
	}
}

// ambiguous reports whether an error of Writer.Commit leaves open whether the transaction took effect. Errors that do
// not say are counted as ambiguous.
func ambiguous(err error) bool {
	return !errors.Is(err, lovageplatform.ErrNotSent) && !errors.Is(err, lovageplatform.ErrRefused)
}
