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

// Writer commits transactions and recognises those that took effect although their reply was lost.
type Writer interface {
	Commit(ctx context.Context, tx lovageplatform.Transaction) (lovageplatform.CommitResult, error)
}

// Peer is another entry instance.
type Peer struct{ ID, Address string }

// Peers reaches the other entry instances.
type Peers interface {
	// Peers returns the instances that may be asked for changes: those that are not known to be gone and that heartbeats
	// are exchanged with.
	Peers() []Peer
	// PushTargets returns the instances that a change is pushed to at once, for a change accepted here, with an empty from, or
	// one that the instance from pushed.
	PushTargets(from string) []Peer
	Call(ctx context.Context, address string, req *lovagemessage.Request) (*lovagemessage.Response, error)
}

// Counter is a count that only increases. The counters of go-metrics satisfy it.
type Counter = interface{ Inc(n int64) }

// Counters supplies the counters of a Syncer. New asks for each one once, with an empty kind.
type Counters interface {
	Counter(name, kind string) Counter
}

// Names of counters.
const (
	CounterTableFailed    = "sync_table_failed"    // polls and loads that the table did not answer as needed
	CounterCallsFailed    = "sync_calls_failed"    // calls to peers
	CounterChangesRefused = "sync_changes_refused" // changes that did not follow the applied revision
)

type noCounter struct{}

func (noCounter) Inc(int64) {}

// Settings are the timings and bounds of a Syncer.
type Settings struct {
	ID              string        // of this instance
	PollInterval    time.Duration // between reads of the head
	TableTimeout    time.Duration // of one read
	LoadTimeout     time.Duration // of reading or writing a snapshot, or reading all resources
	WriteTimeout    time.Duration // of an operator's change; after it the result is ambiguous or unavailable
	CallTimeout     time.Duration // of one call to a peer
	AnswerTimeout   time.Duration // an instance silent for longer counts as not answering
	ForgetAfter     time.Duration // an instance silent for longer is no longer shown
	SnapshotEvery   int64         // revisions between snapshots
	SnapshotDelay   time.Duration // after which an instance writes a snapshot that the accepting instance did not write
	RetainedChanges int64         // change rows kept in the table before the snapshot, for instances that lag
}

// DefaultSettings returns the figures of the design page, sections 7 and 8.
func DefaultSettings(id string) Settings {
	return Settings{
		ID:              id,
		PollInterval:    2 * time.Second,
		TableTimeout:    2 * time.Second,
		LoadTimeout:     10 * time.Second,
		WriteTimeout:    5 * time.Second,
		CallTimeout:     time.Second,
		AnswerTimeout:   6 * time.Second, // a peer silent for this long counts as gone
		ForgetAfter:     10 * time.Minute,
		SnapshotEvery:   256,
		SnapshotDelay:   10 * time.Second,
		RetainedChanges: 256,
	}
}

// Dependencies are what a Syncer works with.
type Dependencies struct {
	Table       Table
	ObjectStore ObjectStore
	Writer      Writer
	Peers       Peers
	Store       *lovageresource.Store
	Log         *zap.Logger // may be nil
	Counters    Counters    // may be nil
}

// Syncer keeps a store current. Its methods may be called from several goroutines.
type Syncer struct {
	Settings
	Dependencies
	writing chan struct{} // holds a token while an operator's change is written
	wake    chan struct{} // a peer has a higher revision
	push    *pusher

	mu       sync.Mutex
	loaded   bool
	tableErr error             // of the last read, nil if it succeeded
	ahead    map[string]bool   // IDs of peers that reported a higher revision
	reports  map[string]report // by instance
	accepted int64             // latest revision accepted through this instance

	snapshotDue time.Time // since when a snapshot is missing; used by run only
	unsure      []string  // objects of snapshots whose commit was ambiguous or whose deletion failed; used by run only
	tableFailed Counter
	callFailed  Counter
	refused     Counter
}

type report struct {
	revision int64
	at       time.Time
}

// New returns a Syncer; Serve must run for it to do its work.
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
		writing:     make(chan struct{}, 1),
		wake:        make(chan struct{}, 1),
		ahead:       map[string]bool{},
		reports:     map[string]report{},
		tableFailed: counter(CounterTableFailed),
		callFailed:  counter(CounterCallsFailed),
		refused:     counter(CounterChangesRefused),
	}
	sy.push = newPusher(sy)
	return sy
}

// Serve keeps the store current until the context ends.
func (sy *Syncer) Serve(ctx context.Context) error { return sy.run(ctx) }

// run polls the table.
func (sy *Syncer) run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wg.Go(func() { sy.push.run(ctx) })
	wg.Go(func() { sy.askLoop(ctx) })
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

// askLoop asks peers that are ahead, also while run waits for a slow table.
func (sy *Syncer) askLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-sy.wake:
			sy.askAhead(ctx)
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

// poll compares the store with the table.
func (sy *Syncer) poll(ctx context.Context) {
	err := sy.readTable(ctx)
	if ctx.Err() != nil {
		return
	}
	sy.noteTable(err)
	if err != nil {
		sy.tableFailed.Inc(1)
		if ready, _ := sy.Ready(); !ready {
			sy.loadFromPeers(ctx)
		}
	}
}

// readTable applies what the table has beyond the store and writes a snapshot when one is due.
func (sy *Syncer) readTable(ctx context.Context) error {
	applied := sy.Store.Revision() // before the read, as pushed changes may overtake it
	rows, err := sy.read(ctx, lovageresource.HeadKey, snapshotKey)
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

// read reads rows and makes sure that there is one for each key. Each read has its own timeout, so that a request that
// hangs delays a poll no longer than that after the table answers again.
func (sy *Syncer) read(ctx context.Context, keys ...string) ([]lovageplatform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, sy.TableTimeout)
	defer cancel()
	rows, err := sy.Table.Read(ctx, keys...)
	if err != nil {
		return nil, errors.Wrapf(err, "read %d rows from %q on", len(keys), keys[0])
	}
	if len(rows) != len(keys) {
		return nil, errors.Newf("the table gave %d rows for %d keys", len(rows), len(keys))
	}
	return rows, nil
}

// noteTable logs when the table becomes unreadable or readable again.
func (sy *Syncer) noteTable(err error) {
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

// apply applies changes in order. A gap is an error; applied changes are skipped by the store.
func (sy *Syncer) apply(changes []lovageresource.Change) error {
	for _, ch := range changes {
		if err := sy.Store.Apply(ch); err != nil {
			sy.refused.Inc(1)
			return err
		}
	}
	return nil
}
