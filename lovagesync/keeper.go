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

// Table is the part of the platform's table that a Keeper reads.
type Table interface {
	Read(ctx context.Context, keys ...string) ([]lovageplatform.Row, error)
	Scan(ctx context.Context, prefix string) ([]lovageplatform.Row, error)
}

// Objects is the platform's object store.
type Objects interface {
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
	// PushTo returns the instances that a change is pushed to at once, for a change accepted here, with an empty from, or
	// one that the instance from pushed.
	PushTo(from string) []Peer
	Call(ctx context.Context, address string, req *lovagemessage.Request) (*lovagemessage.Response, error)
}

// Counter is a count that only increases. The counters of go-metrics satisfy it.
type Counter = interface{ Inc(n int64) }

// Counters supplies the counters of a Keeper. New asks for each one once, with an empty kind.
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

// Settings are the timings and bounds of a Keeper.
type Settings struct {
	ID            string        // of this instance
	Poll          time.Duration // between reads of the head
	TableTimeout  time.Duration // of one read
	LoadTimeout   time.Duration // of reading or writing a snapshot, or reading all resources
	WriteTimeout  time.Duration // of an operator's change; after it the result is ambiguous or unavailable
	CallTimeout   time.Duration // of one call to a peer
	AnswerWithin  time.Duration // an instance silent for longer counts as not answering
	ForgetAfter   time.Duration // an instance silent for longer is no longer shown
	SnapshotEvery int64         // revisions between snapshots
	SnapshotDelay time.Duration // after which an instance writes a snapshot that the accepting instance did not write
	KeepChanges   int64         // change rows kept in the table before the snapshot, for instances that lag
}

// DefaultSettings returns the figures of the design page, sections 7 and 8.
func DefaultSettings(id string) Settings {
	return Settings{
		ID:            id,
		Poll:          2 * time.Second,
		TableTimeout:  2 * time.Second,
		LoadTimeout:   10 * time.Second,
		WriteTimeout:  5 * time.Second,
		CallTimeout:   time.Second,
		AnswerWithin:  6 * time.Second, // a peer silent for this long counts as gone
		ForgetAfter:   10 * time.Minute,
		SnapshotEvery: 256,
		SnapshotDelay: 10 * time.Second,
		KeepChanges:   256,
	}
}

// Parts are what a Keeper works with.
type Parts struct {
	Table    Table
	Objects  Objects
	Writer   Writer
	Peers    Peers
	Store    *lovageresource.Store
	Log      *zap.Logger // may be nil
	Counters Counters    // may be nil
}

// Keeper keeps a store current. Its methods may be called from several goroutines.
type Keeper struct {
	Settings
	Parts
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

// New returns a Keeper; Serve must run for it to do its work.
func New(se Settings, pa Parts) *Keeper {
	counter := func(name string) Counter {
		if pa.Counters == nil {
			return noCounter{}
		}
		return pa.Counters.Counter(name, "")
	}
	if pa.Log == nil {
		pa.Log = zap.NewNop()
	}
	ke := &Keeper{
		Settings: se, Parts: pa,
		writing:     make(chan struct{}, 1),
		wake:        make(chan struct{}, 1),
		ahead:       map[string]bool{},
		reports:     map[string]report{},
		tableFailed: counter(CounterTableFailed),
		callFailed:  counter(CounterCallsFailed),
		refused:     counter(CounterChangesRefused),
	}
	ke.push = newPusher(ke)
	return ke
}

// Serve keeps the store current until the context ends.
func (ke *Keeper) Serve(ctx context.Context) error { return ke.run(ctx) }

// run polls the table.
func (ke *Keeper) run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wg.Go(func() { ke.push.run(ctx) })
	wg.Go(func() { ke.askLoop(ctx) })
	tick := time.NewTicker(ke.Poll)
	defer tick.Stop()
	ke.poll(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			ke.poll(ctx)
		}
	}
}

// askLoop asks peers that are ahead, also while run waits for a slow table.
func (ke *Keeper) askLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-ke.wake:
			ke.askAhead(ctx)
		}
	}
}

// Ready reports whether the instance has loaded the resources, and if not, why.
func (ke *Keeper) Ready() (bool, string) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	if ke.loaded {
		return true, ""
	}
	if ke.tableErr != nil {
		return false, "resources are not loaded: no peer has them and the table cannot be read: " + ke.tableErr.Error()
	}
	return false, "resources are not loaded yet"
}

// poll compares the store with the table.
func (ke *Keeper) poll(ctx context.Context) {
	err := ke.readTable(ctx)
	if ctx.Err() != nil {
		return
	}
	ke.noteTable(err)
	if err != nil {
		ke.tableFailed.Inc(1)
		if ready, _ := ke.Ready(); !ready {
			ke.loadFromPeers(ctx)
		}
	}
}

// readTable applies what the table has beyond the store and writes a snapshot when one is due.
func (ke *Keeper) readTable(ctx context.Context) error {
	applied := ke.Store.Revision() // before the read, as pushed changes may overtake it
	rows, err := ke.read(ctx, lovageresource.HeadKey, snapshotKey)
	if err != nil {
		return err
	}
	latest, err := lovageresource.ParseHead(rows[0])
	if err != nil {
		return err
	}
	if err := ke.catchUp(ctx, latest); err != nil {
		return err
	}
	ke.setLoaded("table")
	if latest < applied {
		return errors.Newf("the table's head is revision %d, below the applied revision %d", latest, applied)
	}
	return ke.maybeSnapshot(ctx, rows[1])
}

// read reads rows and makes sure that there is one for each key. Each read has its own timeout, so that a request that
// hangs delays a poll no longer than that after the table answers again.
func (ke *Keeper) read(ctx context.Context, keys ...string) ([]lovageplatform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, ke.TableTimeout)
	defer cancel()
	rows, err := ke.Table.Read(ctx, keys...)
	if err != nil {
		return nil, errors.Wrapf(err, "read %d rows from %q on", len(keys), keys[0])
	}
	if len(rows) != len(keys) {
		return nil, errors.Newf("the table gave %d rows for %d keys", len(rows), len(keys))
	}
	return rows, nil
}

// noteTable logs when the table becomes unreadable or readable again.
func (ke *Keeper) noteTable(err error) {
	ke.mu.Lock()
	before := ke.tableErr
	ke.tableErr = err
	ke.mu.Unlock()
	switch {
	case err != nil && before == nil:
		ke.Log.Warn("resources cannot be compared with the table", zap.Error(err))
	case err == nil && before != nil:
		ke.Log.Info("resources are compared with the table again", zap.Int64("revision", ke.Store.Revision()))
	}
}

func (ke *Keeper) setLoaded(from string) {
	ke.mu.Lock()
	before := ke.loaded
	ke.loaded = true
	ke.mu.Unlock()
	if !before {
		ke.Log.Info("resources loaded", zap.String("from", from), zap.Int64("revision", ke.Store.Revision()))
	}
}

// apply applies changes in order. A gap is an error; applied changes are skipped by the store.
func (ke *Keeper) apply(changes []lovageresource.Change) error {
	for _, ch := range changes {
		if err := ke.Store.Apply(ch); err != nil {
			ke.refused.Inc(1)
			return err
		}
	}
	return nil
}
