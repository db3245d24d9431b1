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

// faultyPlatform is a Memory with injected faults.
type faultyPlatform struct {
	*lovageplatform.Memory
	scanFails   atomic.Bool
	lostReplies atomic.Int64 // replies to deletions still to be lost
}

var errInjected = errors.New("injected")

func (fp *faultyPlatform) Scan(ctx context.Context, prefix string) ([]lovageplatform.Row, error) {
	if fp.scanFails.Load() {
		return nil, errInjected
	}
	return fp.Memory.Scan(ctx, prefix)
}

func (fp *faultyPlatform) Commit(ctx context.Context, tx lovageplatform.Transaction) (lovageplatform.CommitResult, error) {
	res, err := fp.Memory.Commit(ctx, tx)
	if len(tx.Writes) > 2 && tx.Writes[0].Delete && fp.lostReplies.Add(-1) >= 0 {
		return lovageplatform.CommitResult{}, errInjected
	}
	return res, err
}

// testInstance is an instance that serves.
type testInstance struct {
	*Instance
	pl     *faultyPlatform
	cancel context.CancelFunc
	served chan error
}

func startInstance(t *testing.T) *testInstance {
	settings := lovageconfig.Defaults()
	settings.ID, settings.DataCentre = "e0", "kandla"
	settings.Addresses.Peer = netip.MustParseAddrPort("127.0.0.1:0")
	settings.Shutdown = lovageconfig.Shutdown{Deadline: time.Second}
	ti := &testInstance{pl: &faultyPlatform{Memory: lovageplatform.NewMemory()}, served: make(chan error, 1)}
	in, err := New(Options{Settings: settings, Platform: ti.pl})
	must.NoError(t, err)
	ti.Instance = in
	var ctx context.Context
	ctx, ti.cancel = context.WithCancel(t.Context())
	go ti.run(ctx)
	return ti
}

func (ti *testInstance) run(ctx context.Context) {
	_, err := ti.Serve(ctx)
	ti.served <- err
}

func (ti *testInstance) version(t *testing.T, key string) int64 {
	rows, err := ti.pl.Read(t.Context(), key)
	must.NoError(t, err)
	return rows[0].Version
}

// awaitVersion waits until the row has at least the version.
func (ti *testInstance) awaitVersion(t *testing.T, key string, version int64) {
	must.Wait(t, wait.InitialSuccess(
		wait.BoolFunc(func() bool { return ti.version(t, key) >= version }), wait.Timeout(time.Minute), wait.Gap(5*time.Millisecond),
	))
}

// addEndedInstance writes the rows of an ended instance.
func (ti *testInstance) addEndedInstance(t *testing.T, id string) {
	_, err := ti.pl.Memory.Commit(t.Context(), lovageplatform.Transaction{Writes: []lovageplatform.Write{
		{Key: "instance/" + id, Value: []byte(`{"dataCentre":"kandla","address":"10.0.0.9:1"}`)},
		{Key: "operation/" + id},
		{Key: "operation/" + id + "-sync"},
	}})
	must.NoError(t, err)
}

func (ti *testInstance) newCleanup() *cleanup {
	return &cleanup{in: ti.Instance, cl: lovageledger.NewCleaner(lovageledger.CleanerSettings{
		Instance: ti.id, DataCentre: "kandla", LeaseTTL: time.Nanosecond, GracePeriod: time.Nanosecond,
	})}
}

// Guards against an instance that resumes from a long pause and continues although its rows were deleted.
func TestInstanceStopsWhenItsRowsAreDeleted(t *testing.T) {
	ti := startInstance(t)
	defer ti.cancel()
	ti.awaitVersion(t, "operation/"+ti.id, 2)
	_, err := ti.pl.Memory.Commit(t.Context(), lovageplatform.Transaction{Writes: []lovageplatform.Write{
		{Key: "operation/" + ti.id, Delete: true}, {Key: "instance/" + ti.id, Delete: true},
	}})
	must.NoError(t, err)
	must.ErrorIs(t, <-ti.served, lovageplatform.ErrRowDeleted)
}

// Guards against rows of ended instances that stay, against a cleanup that deletes while the table fails or the list
// shows the instance's address, against a lost reply that stops the instance or is not counted, and against concurrent
// cleaners that interfere.
func TestCleanup(t *testing.T) {
	ti := startInstance(t)
	defer ti.cancel()
	ti.awaitVersion(t, "instance/"+ti.id, 1)
	first, second := ti.newCleanup(), ti.newCleanup()
	ti.addEndedInstance(t, "gone")
	ti.pl.lostReplies.Store(1)
	must.NoError(t, first.clean(t.Context()))
	must.NoError(t, second.clean(t.Context()))
	ti.pl.scanFails.Store(true)
	must.ErrorIs(t, first.clean(t.Context()), errInjected)
	must.Eq(t, 1, ti.version(t, "instance/gone"))
	ti.pl.scanFails.Store(false)
	ti.pl.PutInstance(lovageplatform.Instance{ID: "other", Kind: lovageplatform.KindEntry, Address: "10.0.0.9:1"})
	must.NoError(t, first.clean(t.Context()))
	must.Eq(t, 1, ti.version(t, "instance/gone"), must.Sprint("the list shows its address"))
	ti.pl.RemoveInstance("other")
	errs := make(chan error, 2)
	for _, cu := range []*cleanup{first, second} {
		go func() { errs <- cu.clean(t.Context()) }()
	}
	must.NoError(t, <-errs)
	must.NoError(t, <-errs)
	for _, key := range []string{"instance/gone", "operation/gone", "operation/gone-sync"} {
		must.Eq(t, 0, ti.version(t, key), must.Sprint(key))
	}
	must.Eq(t, 3, ti.counts.rowsDeleted.Count())
	ti.cancel()
	must.NoError(t, <-ti.served)
}
