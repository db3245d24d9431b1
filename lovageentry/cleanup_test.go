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

// faultyPlatform is an in-memory platform whose scans can fail and whose replies to deletions can be lost.
type faultyPlatform struct {
	*lovageplatform.Memory
	scanFails   atomic.Bool
	lostReplies atomic.Int64 // number of replies to deletions still to be lost
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

// testInstance is an instance whose Serve runs until cancel is called.
type testInstance struct {
	*Instance
	platformFake *faultyPlatform
	cancel       context.CancelFunc
	serveResult  chan error // gets the error that Serve returns
}

func startInstance(t *testing.T) *testInstance {
	settings := lovageconfig.Defaults()
	settings.ID, settings.DataCentre = "e0", "kandla"
	settings.Addresses.Peer = netip.MustParseAddrPort("127.0.0.1:0")
	settings.Shutdown = lovageconfig.Shutdown{Deadline: time.Second}
	ti := &testInstance{platformFake: &faultyPlatform{Memory: lovageplatform.NewMemory()}, serveResult: make(chan error, 1)}
	in, err := New(Options{Settings: settings, Platform: ti.platformFake})
	must.NoError(t, err)
	ti.Instance = in
	var ctx context.Context
	ctx, ti.cancel = context.WithCancel(t.Context())
	go ti.run(ctx)
	return ti
}

func (ti *testInstance) run(ctx context.Context) {
	_, err := ti.Serve(ctx)
	ti.serveResult <- err
}

func (ti *testInstance) rowVersion(t *testing.T, key string) int64 {
	rows, err := ti.platformFake.Read(t.Context(), key)
	must.NoError(t, err)
	return rows[0].Version
}

// awaitRowVersion waits until the row has at least the version.
func (ti *testInstance) awaitRowVersion(t *testing.T, key string, version int64) {
	must.Wait(t, wait.InitialSuccess(
		wait.BoolFunc(func() bool { return ti.rowVersion(t, key) >= version }), wait.Timeout(time.Minute), wait.Gap(5*time.Millisecond),
	))
}

// addEndedInstance writes the rows of an ended instance.
func (ti *testInstance) addEndedInstance(t *testing.T, id string) {
	_, err := ti.platformFake.Memory.Commit(t.Context(), lovageplatform.Transaction{Writes: []lovageplatform.Write{
		{Key: "instance/" + id, Value: []byte(`{"dataCentre":"kandla","address":"10.0.0.9:1"}`)},
		{Key: "operation/" + id},
		{Key: "operation/" + id + "-sync"},
	}})
	must.NoError(t, err)
}

func (ti *testInstance) newCleanup() *cleanup {
	return &cleanup{in: ti.Instance, cleaner: lovageledger.NewCleaner(lovageledger.CleanerSettings{
		Instance: ti.id, DataCentre: "kandla", LeaseTTL: time.Nanosecond, GracePeriod: time.Nanosecond,
	})}
}

// Serve must return ErrRowDeleted after other instances have deleted the rows of this instance because of a long pause.
func TestInstanceStopsWhenItsRowsAreDeleted(t *testing.T) {
	ti := startInstance(t)
	defer ti.cancel()
	ti.awaitRowVersion(t, "operation/"+ti.id, 2)
	_, err := ti.platformFake.Memory.Commit(t.Context(), lovageplatform.Transaction{Writes: []lovageplatform.Write{
		{Key: "operation/" + ti.id, Delete: true}, {Key: "instance/" + ti.id, Delete: true},
	}})
	must.NoError(t, err)
	must.ErrorIs(t, <-ti.serveResult, lovageplatform.ErrRowDeleted)
}

// A cleanup must delete the rows of an ended instance, unless a scan fails or the platform's list shows the instance's
// address. After a lost reply to a transaction that deletes rows, the instance must keep running. It must count the
// deleted rows. Two concurrent cleanups must both succeed.
func TestCleanup(t *testing.T) {
	ti := startInstance(t)
	defer ti.cancel()
	ti.awaitRowVersion(t, "instance/"+ti.id, 1)
	first, second := ti.newCleanup(), ti.newCleanup()
	ti.addEndedInstance(t, "gone")
	ti.platformFake.lostReplies.Store(1)
	must.NoError(t, first.clean(t.Context()))
	must.NoError(t, second.clean(t.Context()))
	ti.platformFake.scanFails.Store(true)
	must.ErrorIs(t, first.clean(t.Context()), errInjected)
	must.Eq(t, 1, ti.rowVersion(t, "instance/gone"))
	ti.platformFake.scanFails.Store(false)
	ti.platformFake.PutInstance(lovageplatform.Instance{ID: "other", Kind: lovageplatform.KindEntry, Address: "10.0.0.9:1"})
	must.NoError(t, first.clean(t.Context()))
	must.Eq(t, 1, ti.rowVersion(t, "instance/gone"), must.Sprint("the list shows its address"))
	ti.platformFake.RemoveInstance("other")
	errs := make(chan error, 2)
	for _, cu := range []*cleanup{first, second} {
		go func() { errs <- cu.clean(t.Context()) }()
	}
	must.NoError(t, <-errs)
	must.NoError(t, <-errs)
	for _, key := range []string{"instance/gone", "operation/gone", "operation/gone-sync"} {
		must.Eq(t, 0, ti.rowVersion(t, key), must.Sprint(key))
	}
	must.Eq(t, 3, ti.counts.rowsDeleted.Count())
	ti.cancel()
	must.NoError(t, <-ti.serveResult)
}
