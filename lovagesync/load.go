package lovagesync

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"lovagestack/lovageplatform"
	"lovagestack/lovageresource"
)

// snapshotKey is the key of the row that names the latest snapshot object.
const snapshotKey = "snapshot"

// changesPerRead is the maximum number of rows in one read. Changes are small; a Pool with hundreds of workers has about
// 100 KB.
const changesPerRead = 64

// snapshotRow is the value of the row snapshotKey.
type snapshotRow struct {
	Revision int64  `json:"revision"`
	Object   string `json:"object"`
	Pruned   int64  `json:"pruned"` // change rows up to this revision are deleted

	// Names of earlier objects. The next snapshot deletes them again, in case their deletion failed.
	Obsolete []string `json:"obsolete,omitempty"`
}

func parseSnapshotRow(row lovageplatform.Row) (snapshotRow, error) {
	var sn snapshotRow
	if row.Version == 0 {
		return sn, nil
	}
	if err := json.Unmarshal(row.Value, &sn); err != nil {
		return sn, errors.Wrapf(err, "row %q", row.Key)
	}
	return sn, nil
}

// catchUp applies the changes in the table up to the revision latest.
func (sy *Syncer) catchUp(ctx context.Context, latest int64) error {
	restored := false
	for sy.Store.Revision() < latest {
		missing, err := sy.readChanges(ctx, latest)
		if err != nil {
			return err
		}
		if !missing {
			continue
		}
		if restored {
			return errors.Newf("the change row after revision %d is missing although a snapshot was just loaded",
				sy.Store.Revision())
		}
		restored = true
		if err := sy.restore(ctx); err != nil {
			return err
		}
	}
	return nil
}

// readChanges reads and applies the next change rows. missing reports whether the table no longer has one of them.
func (sy *Syncer) readChanges(ctx context.Context, latest int64) (missing bool, err error) {
	var keys []string
	for rev := sy.Store.Revision() + 1; rev <= latest && len(keys) < changesPerRead; rev++ {
		keys = append(keys, lovageresource.ChangeKey(rev))
	}
	if len(keys) == 0 {
		return false, nil
	}
	rows, err := sy.readRows(ctx, keys...)
	if err != nil {
		return false, err
	}
	for _, row := range rows {
		if row.Version == 0 {
			return true, nil
		}
		ch, err := lovageresource.ParseChange(row)
		if err != nil {
			return false, err
		}
		if row.Key != lovageresource.ChangeKey(ch.Revision) {
			return false, errors.Newf("row %q holds change %d", row.Key, ch.Revision)
		}
		if err := sy.apply([]lovageresource.Change{ch}); err != nil {
			return false, err
		}
	}
	return false, nil
}

// restore loads the latest snapshot object. If that fails or does not advance the store, it loads all resource rows.
func (sy *Syncer) restore(ctx context.Context) error {
	before := sy.Store.Revision()
	err := sy.restoreObject(ctx)
	if err == nil && sy.Store.Revision() > before {
		return nil
	}
	if scanErr := sy.restoreRows(ctx); scanErr != nil {
		return errors.CombineErrors(scanErr, err)
	}
	return nil
}

func (sy *Syncer) restoreObject(ctx context.Context) error {
	rows, err := sy.readRows(ctx, snapshotKey)
	if err != nil {
		return err
	}
	sn, err := parseSnapshotRow(rows[0])
	if err != nil || sn.Object == "" {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, sy.LoadTimeout)
	defer cancel()
	data, err := sy.ObjectStore.GetObject(ctx, sn.Object)
	if err != nil {
		return errors.Wrapf(err, "get snapshot object %q", sn.Object)
	}
	_, err = sy.Store.Restore(data)
	return err
}

// restoreRows loads all resource rows. The scan is repeated if the head row has changed meanwhile.
func (sy *Syncer) restoreRows(ctx context.Context) error {
	const attempts = 5 // at 8,200 changes a day, a change during a scan is rare
	for range attempts {
		before, err := sy.readRows(ctx, lovageresource.HeadKey)
		if err != nil {
			return err
		}
		rows, err := sy.scan(ctx)
		if err != nil {
			return err
		}
		after, err := sy.readRows(ctx, lovageresource.HeadKey)
		if err != nil {
			return err
		}
		if before[0].Version != after[0].Version {
			continue
		}
		latest, err := lovageresource.ParseHead(after[0])
		if err != nil {
			return err
		}
		list := make([]lovageresource.Resource, 0, len(rows))
		for _, row := range rows {
			re, ok, err := lovageresource.ParseResource(row)
			if err != nil {
				return err
			}
			if ok {
				list = append(list, re)
			}
		}
		_, err = sy.Store.RestoreResources(list, latest)
		return err
	}
	return errors.Newf("the head changed during each of %d scans of the resource rows", attempts)
}

func (sy *Syncer) scan(ctx context.Context) ([]lovageplatform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, sy.LoadTimeout)
	defer cancel()
	rows, err := sy.Table.Scan(ctx, lovageresource.ResourcePrefix)
	return rows, errors.Wrap(err, "scan the resource rows")
}

// maybeSnapshot writes a snapshot object once per SnapshotEvery revisions. An instance that accepted a change since the
// last multiple of SnapshotEvery writes the object at its next poll. The other instances write it only after
// SnapshotDelay, in case that instance has failed.
func (sy *Syncer) maybeSnapshot(ctx context.Context, row lovageplatform.Row) error {
	sn, err := parseSnapshotRow(row)
	if err != nil {
		return err
	}
	revision := sy.Store.Revision()
	if revision/sy.SnapshotEvery <= sn.Revision/sy.SnapshotEvery {
		sy.snapshotDueSince = time.Time{}
		return nil
	}
	if sy.snapshotDueSince.IsZero() {
		sy.snapshotDueSince = time.Now()
	}
	sy.mu.Lock()
	acceptedHere := sy.lastAccepted/sy.SnapshotEvery == revision/sy.SnapshotEvery
	sy.mu.Unlock()
	if !acceptedHere && time.Since(sy.snapshotDueSince) < sy.SnapshotDelay {
		return nil
	}
	if err := sy.writeSnapshot(ctx, row, sn); err != nil {
		// The error is counted but not returned, because the table is readable. The next poll tries again.
		sy.tableFailures.Inc(1)
		sy.Log.Debug("snapshot was not written", zap.Error(err))
	}
	return nil
}

// writeSnapshot writes the snapshot object, then the row that names the object. The transaction that writes the row also
// deletes change rows more than RetainedChanges older. Instances that lack those changes load the snapshot.
func (sy *Syncer) writeSnapshot(ctx context.Context, row lovageplatform.Row, old snapshotRow) error {
	ctx, cancel := context.WithTimeout(ctx, sy.LoadTimeout)
	defer cancel()
	if current, err := sy.resolveAmbiguousCommits(ctx, row); err != nil || !current {
		return err
	}
	data, revision, err := sy.Store.Snapshot()
	if err != nil {
		return err
	}
	next := snapshotRow{
		Revision: revision,
		Object:   fmt.Sprintf("configuration-%d-%s-%s", revision, sy.ID, strconv.FormatInt(time.Now().UnixMilli(), 36)),
		Pruned:   max(old.Pruned, min(revision-sy.RetainedChanges, old.Pruned+4*sy.SnapshotEvery)),
	}
	if next.Obsolete, err = sy.deleteObjects(ctx, old.Obsolete); err != nil {
		return err
	}
	if old.Object != "" {
		next.Obsolete = append(next.Obsolete, old.Object)
	}
	for _, name := range sy.unresolvedObjects {
		if name != old.Object {
			next.Obsolete = append(next.Obsolete, name)
		}
	}
	if err := sy.ObjectStore.PutObject(ctx, next.Object, data); err != nil {
		return errors.Wrapf(err, "put snapshot object %q", next.Object)
	}
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode the snapshot row")
	}
	tx := lovageplatform.Transaction{
		Checks: []lovageplatform.Check{{Key: snapshotKey, Version: row.Version}},
		Writes: []lovageplatform.Write{{Key: snapshotKey, Value: value}},
	}
	for rev := old.Pruned + 1; rev <= next.Pruned; rev++ {
		tx.Writes = append(tx.Writes, lovageplatform.Write{Key: lovageresource.ChangeKey(rev), Delete: true})
	}
	res, err := sy.Writer.Commit(ctx, tx)
	switch {
	case err != nil && ambiguous(err):
		sy.unresolvedObjects = append(sy.unresolvedObjects, next.Object)
		return errors.Wrapf(err, "commit snapshot %d; its object %q stays until the next one", revision, next.Object)
	case err != nil || !res.Committed:
		if sy.ObjectStore.DeleteObject(ctx, next.Object) != nil {
			sy.unresolvedObjects = append(sy.unresolvedObjects, next.Object)
		}
		return errors.Wrapf(err, "commit snapshot %d", revision)
	}
	sy.snapshotDueSince, sy.unresolvedObjects = time.Time{}, nil
	// Readers of a deleted object fall back to the resource rows.
	_, _ = sy.deleteObjects(ctx, next.Obsolete) // the next snapshot deletes the remaining ones
	return nil
}

// maxObsolete is the number of undeleted objects at which no further snapshot is written. Otherwise an object store that
// accepts objects but deletes none would fill up.
const maxObsolete = 64

// deleteObjects deletes objects and returns the names of those that it could not delete. It returns an error if
// maxObsolete or more remain.
func (sy *Syncer) deleteObjects(ctx context.Context, names []string) (remaining []string, err error) {
	for _, name := range names {
		if err := sy.ObjectStore.DeleteObject(ctx, name); err != nil {
			remaining = append(remaining, name)
		}
	}
	if len(remaining) >= maxObsolete {
		return remaining, errors.Newf("%d snapshot objects could not be deleted", len(remaining))
	}
	return remaining, nil
}

// resolveAmbiguousCommits commits an empty transaction. After that, no earlier commit of a snapshot can take effect. It
// runs before another object is written. An outage in which every commit is ambiguous thus leaves one object instead of
// one per poll. current reports whether the snapshot row is still at the version of row.
func (sy *Syncer) resolveAmbiguousCommits(ctx context.Context, row lovageplatform.Row) (current bool, err error) {
	if len(sy.unresolvedObjects) == 0 {
		return true, nil
	}
	if _, err := sy.Writer.Commit(ctx, lovageplatform.Transaction{}); err != nil {
		return false, errors.Wrap(err, "resolve the commit of an earlier snapshot")
	}
	rows, err := sy.readRows(ctx, snapshotKey)
	if err != nil {
		return false, err
	}
	return rows[0].Version == row.Version, nil
}
