package lovageentry

import (
	"context"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"lovagestack/lovageconfig"
	"lovagestack/lovagejob"
	"lovagestack/lovageplatform"
	"lovagestack/lovageresource"
)

// The limit must be at least the number of slots if the worker accepts that many connections, and at most the number
// that the worker accepts.
func TestConnectionLimit(t *testing.T) {
	for _, tc := range []struct{ limit, slots, instances, want int }{
		{64, 8, 1, 64}, {64, 8, 2, 32}, {64, 8, 8, 8}, {64, 8, 30, 8}, {4, 8, 1, 4}, {4, 8, 30, 4}, {0, 8, 3, 1}, {64, 8, 0, 64},
	} {
		must.Eq(t, tc.want, connectionLimit(tc.limit, tc.slots, tc.instances), must.Sprintf("%+v", tc))
	}
}

// Submissions with different content must have different fingerprints.
func TestFingerprint(t *testing.T) {
	base := lovagejob.Submission{Service: "ticket", Team: "gate", Tasks: []lovagejob.Task{{Payload: []byte("ab")}, {Payload: []byte("c")}}}
	same := base
	same.Deadline = time.Unix(7, 0) // a caller may extend its deadline when it submits again
	must.Eq(t, fingerprint(&base), fingerprint(&same))
	for name, change := range map[string]func(*lovagejob.Submission){
		"service": func(sub *lovagejob.Submission) { sub.Service = "proof" },
		"team":    func(sub *lovagejob.Submission) { sub.Team = "yard" },
		"payload": func(sub *lovagejob.Submission) {
			sub.Tasks = []lovagejob.Task{{Payload: []byte("ab")}, {Payload: []byte("d")}}
		},
		"moved boundary": func(sub *lovagejob.Submission) {
			sub.Tasks = []lovagejob.Task{{Payload: []byte("a")}, {Payload: []byte("bc")}}
		},
		"task missing": func(sub *lovagejob.Submission) { sub.Tasks = sub.Tasks[:1] },
	} {
		other := base
		change(&other)
		must.NotEq(t, fingerprint(&base), fingerprint(&other), must.Sprint(name))
	}
}

// New must refuse an ID in the settings that is too long with the random suffix, because peers could not parse it.
func TestNewRefusesLongID(t *testing.T) {
	settings := lovageconfig.Defaults()
	settings.ID, settings.DataCentre = strings.Repeat("a", 45), "kandla"
	settings.Addresses.Peer = netip.MustParseAddrPort("127.0.0.1:0")
	_, err := New(Options{Settings: settings, Platform: lovageplatform.NewMemory()})
	must.ErrorContains(t, err, "too long for the suffix")
}

// A submission must reach the control loop only after the resources whose writes were accepted before it. Otherwise a new
// user's first job is told that its service does not exist.
func TestSubmitWaitsForAcceptedResources(t *testing.T) {
	lo := newTestLoop(t)
	_, err := lo.in.store.RestoreResources([]lovageresource.Resource{newPool("yard", "kandla", "", 0, "ticket")}, 1)
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	key, err := lovagejob.ParseKey("kandla.12.7.1796381234567.5f0c9a1be2d34c77")
	must.NoError(t, err)
	go func() {
		_, _ = lo.in.Submit(ctx, lovagejob.Submission{Key: key, Service: "ticket", Deadline: time.Now().Add(time.Minute)})
	}()
	select {
	case ev := <-lo.events:
		t.Fatalf("%T reached the control loop before the resources", ev)
	case <-time.After(100 * time.Millisecond):
	}
	(&resourceWatcher{in: lo.in}).load().apply(lo)
	select {
	case <-lo.events:
	case <-time.After(10 * time.Second):
		t.Fatal("the submission did not reach the control loop")
	}
}
