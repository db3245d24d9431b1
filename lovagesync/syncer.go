package lovagesync

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"lovagestack/lovagemessage"
	"lovagestack/lovageplatform"
	"lovagestack/lovageresource"
)

// Table is the part of the platform's table that a Syncer reads.
type Table interface {
	Read(ctx context.Context, keys ...string) ([]lovageplatform.Row, error)
	Scan(ctx context.Context, prefix string) ([]lovageplatform.Row, error)
}

// ObjectStore is the platform's object store.
type ObjectStore interface {
	GetObject(ctx context.Context, name string) ([]byte, error)
	PutObject(ctx context.Context, name string, data []byte) error
	DeleteObject(ctx context.Context, name string) error
}

// Writer commits transactions and detects those that took effect although the table's reply was lost.
type Writer interface {
	Commit(ctx context.Context, tx lovageplatform.Transaction) (lovageplatform.CommitResult, error)
}

// Peer is another entry instance.
type Peer struct{ ID, Address string }

// Peers lists and calls the other entry instances.
type Peers interface {
	// Peers returns the instances from which this one can fetch changes: those that exchange heartbeats with it and are
	// not known to be gone.
	Peers() []Peer
	// PushTargets returns the instances to which this one pushes a change at once. from is the ID of the instance that
	// pushed the change to this one, or empty if the change was accepted here.
	PushTargets(from string) []Peer
	Call(ctx context.Context, address string, req *lovagemessage.Request) (*lovagemessage.Response, error)
}

// Counter is a monotonic counter. The counters of go-metrics satisfy it.
type Counter = interface{ Inc(n int64) }

// Counters creates the counters of a Syncer. New calls it once for each name, with an empty kind.
type Counters interface {
	Counter(name, kind string) Counter
}

// Names of counters.
const (
	CounterTableFailed    = "sync_table_failed"    // failed table polls, catch-ups and snapshot writes
	CounterCallsFailed    = "sync_calls_failed"    // failed calls to peers
	CounterChangesRefused = "sync_changes_refused" // changes that were invalid or did not follow the applied revision
)

type noCounter struct{}

func (noCounter) Inc(int64) {}

// Settings are the timeouts and limits of a Syncer.
type Settings struct {
	ID              string        // ID of this instance
	PollInterval    time.Duration // time between reads of the table's head
	TableTimeout    time.Duration // maximum duration of one read of rows
	LoadTimeout     time.Duration // maximum duration of reading or writing a snapshot, or of reading all resources
	WriteTimeout    time.Duration // maximum duration of an operator's change; after it, the outcome is ambiguous or unavailable
	CallTimeout     time.Duration // maximum duration of one call to a peer
	AnswerTimeout   time.Duration // an instance without a report for this time counts as not answering
	ForgetAfter     time.Duration // an instance without a report for this time is no longer listed
	SnapshotEvery   int64         // number of revisions between snapshots
	SnapshotDelay   time.Duration // wait before writing a snapshot of changes that another instance accepted
	RetainedChanges int64         // number of change rows kept before the snapshot, for lagging instances
}

// DefaultSettings returns the values of sections 7 and 8 of the design page.
func DefaultSettings(id string) Settings {
	return Settings{
		ID:              id,
		PollInterval:    2 * time.Second,
		TableTimeout:    2 * time.Second,
		LoadTimeout:     10 * time.Second,
		WriteTimeout:    5 * time.Second,
		CallTimeout:     time.Second,
		AnswerTimeout:   6 * time.Second, // after this time without contact a peer counts as gone
		ForgetAfter:     10 * time.Minute,
		SnapshotEvery:   256,
		SnapshotDelay:   10 * time.Second,
		RetainedChanges: 256,
	}
}

// Dependencies are the interfaces and the store that a Syncer uses.
type Dependencies struct {
	Table       Table
	ObjectStore ObjectStore
	Writer      Writer
	Peers       Peers
	Store       *lovageresource.Store
	Log         *zap.Logger // nil: no logging
	Counters    Counters    // nil: no metrics
}

// Syncer keeps a store up to date and commits operators' changes. Its methods are safe for concurrent use.
type Syncer struct {
	Settings
	Dependencies
	writeSem chan struct{} // full while an operator's change is written
	wake     chan struct{} // wakes fetchLoop when a peer has a higher revision
	pusher   *pusher

	mu           sync.Mutex
	loaded       bool
	tableErr     error                     // error of the last table poll, nil if it succeeded
	peersAhead   map[string]bool           // IDs of peers that reported a higher revision
	reports      map[string]revisionReport // last report of each other instance, by instance ID
	lastAccepted int64                     // latest revision that this instance accepted

	snapshotDueSince  time.Time // when a snapshot was first found due, zero if none is due; used by run only
	unresolvedObjects []string  // snapshot objects whose commit was ambiguous or whose deletion failed; used by run only
	tableFailures     Counter
	callFailures      Counter
	changesRefused    Counter
}

type revisionReport struct {
	revision    int64
	lastContact time.Time // time of the last contact with the instance
}

// New returns a Syncer. It polls, fetches and pushes changes only while Serve runs.
func New(se Settings, de Dependencies) *Syncer {
	counter := func(name string) Counter {
		if de.Counters == nil {
			return noCounter{}
		}
		return de.Counters.Counter(name, "")
	}
	if de.Log == nil {
		de.Log = zap.NewNop()
	}
	sy := &Syncer{
		Settings: se, Dependencies: de,
		writeSem:       make(chan struct{}, 1),
		wake:           make(chan struct{}, 1),
		peersAhead:     map[string]bool{},
		reports:        map[string]revisionReport{},
		tableFailures:  counter(CounterTableFailed),
		callFailures:   counter(CounterCallsFailed),
		changesRefused: counter(CounterChangesRefused),
	}
	sy.pusher = newPusher(sy)
	return sy
}

// Serve keeps the store current until the context ends.
func (sy *Syncer) Serve(ctx context.Context) error { return sy.run(ctx) }

// run polls the table and runs the other loops.
func (sy *Syncer) run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wg.Go(func() { sy.pusher.run(ctx) })
	wg.Go(func() { sy.fetchLoop(ctx) })
	tick := time.NewTicker(sy.PollInterval)
	defer tick.Stop()
	sy.poll(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			sy.poll(ctx)
		}
	}
}

// fetchLoop fetches changes from peers that are ahead, also while run waits for a slow table.
func (sy *Syncer) fetchLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-sy.wake:
			sy.fetchFromPeersAhead(ctx)
		}
	}
}

// Ready reports whether the instance has loaded the resources, and if not, why.
func (sy *Syncer) Ready() (bool, string) {
	sy.mu.Lock()
	defer sy.mu.Unlock()
	if sy.loaded {
		return true, ""
	}
	if sy.tableErr != nil {
		return false, "resources are not loaded: no peer has them and the table cannot be read: " + sy.tableErr.Error()
	}
	return false, "resources are not loaded yet"
}

// poll updates the store from the table. If that fails before the resources are loaded, poll loads them from peers.
func (sy *Syncer) poll(ctx context.Context) {
	err := sy.readTable(ctx)
	if ctx.Err() != nil {
		return
	}
	sy.recordPollResult(err)
	if err != nil {
		sy.tableFailures.Inc(1)
		if ready, _ := sy.Ready(); !ready {
			sy.loadFromPeers(ctx)
		}
	}
}

// readTable applies the changes in the table that the store lacks and writes a snapshot when one is due.
func (sy *Syncer) readTable(ctx context.Context) error {
	applied := sy.Store.Revision() // taken first, because pushed changes may advance the store during the read
	rows, err := sy.readRows(ctx, lovageresource.HeadKey, snapshotKey)
	if err != nil {
		return err
	}
	latest, err := lovageresource.ParseHead(rows[0])
	if err != nil {
		return err
	}
	if err := sy.catchUp(ctx, latest); err != nil {
		return err
	}
	sy.setLoaded("table")
	if latest < applied {
		return errors.Newf("the table's head is revision %d, below the applied revision %d", latest, applied)
	}
	return sy.maybeSnapshot(ctx, rows[1])
}

// readRows reads rows and checks that there is one for each key. Each read has its own timeout, so that a hanging
// request delays a poll by at most that timeout once the table answers again.
func (sy *Syncer) readRows(ctx context.Context, keys ...string) ([]lovageplatform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, sy.TableTimeout)
	defer cancel()
	rows, err := sy.Table.Read(ctx, keys...)
	if err != nil {
		return nil, errors.Wrapf(err, "read %d rows, the first %q", len(keys), keys[0])
	}
	if len(rows) != len(keys) {
		return nil, errors.Newf("the table returned %d rows for %d keys", len(rows), len(keys))
	}
	return rows, nil
}

// recordPollResult records the result of a table poll. It logs when polls start to fail and when they succeed again.
func (sy *Syncer) recordPollResult(err error) {
	sy.mu.Lock()
	before := sy.tableErr
	sy.tableErr = err
	sy.mu.Unlock()
	switch {
	case err != nil && before == nil:
		sy.Log.Warn("resources cannot be compared with the table", zap.Error(err))
	case err == nil && before != nil:
		sy.Log.Info("resources are compared with the table again", zap.Int64("revision", sy.Store.Revision()))
	}
}

func (sy *Syncer) setLoaded(from string) {
	sy.mu.Lock()
	before := sy.loaded
	sy.loaded = true
	sy.mu.Unlock()
	if !before {
		sy.Log.Info("resources loaded", zap.String("from", from), zap.Int64("revision", sy.Store.Revision()))
	}
}

// apply applies changes in order. The store skips changes that are already applied; a gap in the revisions is an error.
func (sy *Syncer) apply(changes []lovageresource.Change) error {
	for _, ch := range changes {
		if err := sy.Store.Apply(ch); err != nil {
			sy.changesRefused.Inc(1)
			return err
		}
	}
	return nil
}
