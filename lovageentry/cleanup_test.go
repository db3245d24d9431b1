package lovageentry

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"lovagestack/lovageconfig"
	"lovagestack/lovageledger"
	"lovagestack/lovageplatform"
)

// faultyPlatform is a Memory whose operations fail as told.
type faultyPlatform struct {
	*lovageplatform.Memory
	down  atomic.Bool
	loses atomic.Int64 // replies to deletions that are still to be lost
}

var errInjected = errors.New("injected")

func (fp *faultyPlatform) Scan(ctx context.Context, prefix string) ([]lovageplatform.Row, error) {
	if fp.down.Load() {
		return nil, errInjected
	}
	return fp.Memory.Scan(ctx, prefix)
}

func (fp *faultyPlatform) Commit(ctx context.Context, tx lovageplatform.Transaction) (lovageplatform.CommitResult, error) {
	res, err := fp.Memory.Commit(ctx, tx)
	if len(tx.Writes) > 2 && tx.Writes[0].Delete && fp.loses.Add(-1) >= 0 {
		return lovageplatform.CommitResult{}, errInjected
	}
	return res, err
}

// running is an instance that serves.
type running struct {
	*Instance
	pl     *faultyPlatform
	cancel context.CancelFunc
	served chan error
}

func startInstance(t *testing.T) *running {
	settings := lovageconfig.Defaults()
	settings.ID, settings.DataCentre = "e0", "kandla"
	settings.Addresses.Peer = netip.MustParseAddrPort("127.0.0.1:0")
	settings.Shutdown = lovageconfig.Shutdown{Deadline: time.Second}
	ru := &running{pl: &faultyPlatform{Memory: lovageplatform.NewMemory()}, served: make(chan error, 1)}
	in, err := New(Options{Settings: settings, Platform: ru.pl})
	must.NoError(t, err)
	ru.Instance = in
	var ctx context.Context
	ctx, ru.cancel = context.WithCancel(t.Context())
	go ru.run(ctx)
	return ru
}

func (ru *running) run(ctx context.Context) {
	_, err := ru.Serve(ctx)
	ru.served <- err
}

func (ru *running) version(t *testing.T, key string) int64 {
	rows, err := ru.pl.Read(t.Context(), key)
	must.NoError(t, err)
	return rows[0].Version
}

// awaitVersion waits until the row has at least the version.
func (ru *running) awaitVersion(t *testing.T, key string, version int64) {
	must.Wait(t, wait.InitialSuccess(
		wait.BoolFunc(func() bool { return ru.version(t, key) >= version }), wait.Timeout(time.Minute), wait.Gap(5*time.Millisecond),
	))
}

// leave writes the rows of an ended instance.
func (ru *running) leave(t *testing.T, id string) {
	_, err := ru.pl.Memory.Commit(t.Context(), lovageplatform.Transaction{Writes: []lovageplatform.Write{
		{Key: "instance/" + id, Value: []byte(`{"dataCentre":"kandla","address":"10.0.0.9:1"}`)},
		{Key: "operation/" + id},
		{Key: "operation/" + id + "-sync"},
	}})
	must.NoError(t, err)
}

func (ru *running) cleaner() *cleanup {
	return &cleanup{in: ru.Instance, cl: lovageledger.NewCleaner(lovageledger.CleanerSettings{
		Instance: ru.id, DataCentre: "kandla", LeaseTTL: time.Nanosecond, GracePeriod: time.Nanosecond,
	})}
}

// Guards against a paused instance that goes on after its rows were deleted.
func TestInstanceEndsWhenItsRowsAreDeleted(t *testing.T) {
	ru := startInstance(t)
	defer ru.cancel()
	ru.awaitVersion(t, "operation/"+ru.id, 2)
	_, err := ru.pl.Memory.Commit(t.Context(), lovageplatform.Transaction{Writes: []lovageplatform.Write{
		{Key: "operation/" + ru.id, Delete: true}, {Key: "instance/" + ru.id, Delete: true},
	}})
	must.NoError(t, err)
	must.ErrorIs(t, <-ru.served, lovageplatform.ErrRowDeleted)
}

// Guards against rows of ended instances that stay, against a cleanup that deletes while the table or the list fails,
// against a lost reply that ends the instance or is not counted, and against racing cleaners that do harm.
func TestCleanup(t *testing.T) {
	ru := startInstance(t)
	defer ru.cancel()
	ru.awaitVersion(t, "instance/"+ru.id, 1)
	one, two := ru.cleaner(), ru.cleaner()
	ru.leave(t, "gone")
	ru.pl.loses.Store(1)
	must.NoError(t, one.clean(t.Context()))
	must.NoError(t, two.clean(t.Context()))
	ru.pl.down.Store(true)
	must.ErrorIs(t, one.clean(t.Context()), errInjected)
	must.Eq(t, 1, ru.version(t, "instance/gone"))
	ru.pl.down.Store(false)
	ru.pl.PutInstance(lovageplatform.Instance{ID: "other", Kind: lovageplatform.KindEntry, Address: "10.0.0.9:1"})
	must.NoError(t, one.clean(t.Context()))
	must.Eq(t, 1, ru.version(t, "instance/gone"), must.Sprint("the list shows its address"))
	ru.pl.RemoveInstance("other")
	errs := make(chan error, 2)
	for _, cu := range []*cleanup{one, two} {
		go func() { errs <- cu.clean(t.Context()) }()
	}
	must.NoError(t, <-errs)
	must.NoError(t, <-errs)
	for _, key := range []string{"instance/gone", "operation/gone", "operation/gone-sync"} {
		must.Eq(t, 0, ru.version(t, key), must.Sprint(key))
	}
	must.Eq(t, 3, ru.counts.rowsDeleted.Count())
	ru.cancel()
	must.NoError(t, <-ru.served)
}
