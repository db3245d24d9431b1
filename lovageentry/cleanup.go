package lovageentry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"lovagestack/lovageledger"
	"lovagestack/lovagemember"
	"lovagestack/lovageplatform"
)

const (
	// cleanupInterval is the time between two searches for rows of ended instances. A search commits at most one
	// transaction.
	cleanupInterval = time.Minute

	// cleanupTimeout limits a cleanup transaction. The lease renewal waits for the transaction, because both use the
	// same writer.
	cleanupTimeout = time.Second
)

// cleanup deletes table rows of ended instances. Once a minute, the instance that is elected in its data centre reads
// the table and commits the transaction that the Cleaner plans.
type cleanup struct {
	in      *Instance
	cleaner *lovageledger.Cleaner
}

func newCleanup(in *Instance) *cleanup {
	return &cleanup{in: in, cleaner: lovageledger.NewCleaner(lovageledger.CleanerSettings{
		Instance: in.id, DataCentre: in.settings.DataCentre, LeaseTTL: in.settings.Lease.TTL,
	})}
}

// Serve runs until ctx ends.
func (cu *cleanup) Serve(ctx context.Context) error {
	ticker := time.NewTicker(cleanupInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if err := cu.clean(ctx); err != nil && ctx.Err() == nil {
				cu.in.counts.tableFailures.Inc(1)
				cu.in.log.Debug("rows of ended instances were not deleted", zap.Error(err))
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// clean does one cleanup. After an error the rows may or may not have been deleted; the next cleanup reads them again.
func (cu *cleanup) clean(ctx context.Context) error {
	mq := &membersQuery{replies: make(chan membersReply, 1)}
	if !cu.in.control.post(ctx, mq) {
		return ctx.Err()
	}
	var members membersReply
	select {
	case members = <-mq.replies:
	case <-ctx.Done():
		return ctx.Err()
	}
	if !cu.cleaner.Elected(members.members) {
		return nil // only the elected instance cleans up; a Cleaner that was not called for long starts its observations anew
	}
	ci := &lovageledger.CleanerInput{ReadAt: time.Now(), Members: members.members}
	if err := cu.read(ctx, ci, members.addresses); err != nil {
		return err
	}
	tx := cu.cleaner.Plan(ci)
	if len(tx.Writes) == 0 {
		return nil
	}
	return cu.commit(ctx, tx)
}

func (cu *cleanup) read(ctx context.Context, ci *lovageledger.CleanerInput, liveAddresses map[string]bool) error {
	ctx, cancel := context.WithTimeout(ctx, 4*cu.in.settings.Platform.Timeout)
	defer cancel()
	for _, it := range []struct {
		prefix string
		rows   *[]lovageplatform.Row
	}{
		// Ranges are read last. If the name of an instance is written into a range row during the reads, the Cleaner
		// sees that and keeps the instance's rows.
		{lovageledger.InstancePrefix, &ci.Instances},
		{lovageledger.OperationPrefix, &ci.Operations},
		{lovageledger.RangePrefix, &ci.Ranges},
	} {
		rows, err := cu.in.platform.Scan(ctx, it.prefix)
		cu.in.counts.tableReads.Inc(1)
		if err != nil {
			return errors.Wrapf(err, "read the rows %q", it.prefix)
		}
		*it.rows = rows
	}
	list, err := cu.in.platform.Instances(ctx)
	if err != nil {
		return errors.Wrap(err, "read the list of instances")
	}
	ci.Listed, ci.ListedAddresses = map[string]bool{}, map[string]bool{}
	for _, it := range list {
		// The list contains names of instances, not IDs of processes. An entry with the address of a live process
		// stands for that process and not for an ended one.
		if it.Kind == lovageplatform.KindEntry {
			ci.Listed[it.ID] = true
			ci.ListedAddresses[it.Address] = !liveAddresses[it.Address]
		}
	}
	return nil
}

func (cu *cleanup) commit(ctx context.Context, tx lovageplatform.Transaction) error {
	ctx, cancel := context.WithTimeout(ctx, cleanupTimeout)
	defer cancel()
	res, err := cu.in.ledgerWriter.Commit(ctx, tx)
	cu.in.counts.tableWrites.Inc(1)
	if err != nil {
		return errors.Wrapf(err, "delete %d rows", len(tx.Writes))
	}
	if !res.Committed {
		return nil // an instance is alive and has changed a row, or another cleaner was first
	}
	deleted := 0
	for _, wr := range tx.Writes {
		if wr.Delete {
			deleted++
		}
	}
	cu.in.counts.rowsDeleted.Inc(int64(deleted))
	cu.in.counts.rangesFreed.Inc(int64(len(tx.Writes) - deleted))
	cu.in.log.Info("rows of ended instances deleted", zap.Int("rows", deleted), zap.Int("rangesFreed", len(tx.Writes)-deleted))
	return nil
}

type membersQuery struct{ replies chan membersReply }

type membersReply struct {
	members   []lovageledger.Member
	addresses map[string]bool // peer addresses of this instance and of live and leaving peers
}

func (mq *membersQuery) apply(lo *controlLoop) {
	rp := membersReply{addresses: map[string]bool{lo.in.peerAddress: true}}
	for id, me := range lo.members.members {
		if id == lo.in.id {
			continue
		}
		rp.members = append(rp.members, toLedgerMember(me, lo.members.dataCentres[id], lo.in.settings.DataCentre))
		if me.State == lovagemember.Live || me.State == lovagemember.Leaving {
			rp.addresses[me.Address] = true
		}
	}
	mq.replies <- rp
}

// failStopWriter stops the instance when the row of its Writer has been deleted. Other instances delete the row if this
// process pauses for more than 10 min. They consider the process ended, so its ranges may have new owners.
type failStopWriter struct {
	*lovageplatform.Writer
	in *Instance
}

// Commit calls Writer.Commit.
func (fw failStopWriter) Commit(ctx context.Context, tx lovageplatform.Transaction) (lovageplatform.CommitResult, error) {
	res, err := fw.Writer.Commit(ctx, tx)
	if errors.Is(err, lovageplatform.ErrRowDeleted) {
		fw.in.fail(err)
	}
	return res, err
}

// fail makes Serve stop the instance and return the error.
func (in *Instance) fail(err error) {
	select {
	case in.fatal <- err:
	default: // the instance is stopping already
	}
}
