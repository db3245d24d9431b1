package lovageapi

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"lovagestack/lovageresource"
)

func teamResource(name string, revision int64) lovageresource.Resource {
	return lovageresource.Resource{
		Kind: lovageresource.KindTeam, Name: name, Revision: revision, Spec: lovageresource.DefaultTeam(),
	}
}

// Checks that the client gets each write outcome unchanged, and that /readyz replies 503 if the instance is not ready.
func TestWriteOutcomes(t *testing.T) {
	ta := startAPI(t, DefaultSettings())
	cl := NewClient(ta.operator.serveForTest(t))
	defer cl.Close()
	for outcome, status := range map[lovageresource.WriteOutcome]int{
		lovageresource.WriteAccepted: 200, lovageresource.WriteUnchanged: 200, lovageresource.WriteConflict: 409,
		lovageresource.WriteUnavailable: 503, lovageresource.WriteAmbiguous: 504, "": 504,
	} {
		must.Eq(t, status, statusForWrite(outcome))
		if outcome == "" {
			continue
		}
		ta.resources.fixedResult = lovageresource.WriteResult{Outcome: outcome, Revision: 7, Reason: "as the test says"}
		got, err := cl.Put(context.Background(), teamResource("a", 1))
		must.NoError(t, err)
		must.Eq(t, ta.resources.fixedResult, got)
		got, err = cl.Delete(context.Background(), lovageresource.KindTeam, "a", 1)
		must.NoError(t, err)
		must.Eq(t, ta.resources.fixedResult, got)
	}
	ta.health.reasons = []string{"resources are not loaded yet"}
	res, err := http.Get(ta.operatorURL + "/readyz")
	must.NoError(t, err)
	must.NoError(t, res.Body.Close())
	must.Eq(t, http.StatusServiceUnavailable, res.StatusCode)
	res, err = http.Get(ta.operatorURL + "/debug/pprof/goroutine?debug=1")
	must.NoError(t, err)
	must.NoError(t, res.Body.Close())
	must.Eq(t, http.StatusOK, res.StatusCode)
}

// serveForTest serves on a free port until the test ends, and returns the address.
func (srv *Server) serveForTest(t *testing.T) string {
	must.NoError(t, srv.Listen("127.0.0.1:0"))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go srv.Serve(ctx) //nolint:errcheck // ends with the context
	return srv.Address()
}

// A watch must lose no change, and must not end without a reason or a revision from which to continue.
func TestResourceWatch(t *testing.T) {
	ta := startAPI(t, DefaultSettings())
	cl := NewClient(ta.operator.serveForTest(t))
	defer cl.Close()
	lines := make(chan WatchLine, 1000)
	watchResult := make(chan error, 1)
	go func() {
		watchResult <- cl.Watch(context.Background(), 0, func(line WatchLine) error {
			lines <- line
			return nil
		})
	}()
	must.Eq(t, WatchLine{Revision: 0}, <-lines)
	for revision := int64(1); revision <= 50; revision++ {
		re := teamResource("a", revision-1)
		must.Eq(t, lovageresource.WriteAccepted, ta.resources.Put(t.Context(), re).Outcome)
		if line := <-lines; line.Change == nil || line.Change.Revision != revision {
			t.Fatalf("change %d arrived as %+v", revision, line)
		}
	}
	must.NoError(t, ta.operator.Shutdown(t.Context()))
	must.Eq(t, "the server is shutting down", (<-lines).End)
	must.NoError(t, <-watchResult)
}

// Health checks must succeed when watches use up the request limit. A draining instance must ask clients to close their
// connections.
func TestHealthUnderLoad(t *testing.T) {
	se := DefaultSettings()
	se.OperatorRequests = 1
	ta := startAPI(t, se)
	ta.operator.inFlight <- struct{}{}
	for path, status := range map[string]int{"/readyz": 200, "/healthz": 200, "/metrics": 200, "/v1/resources": 503} {
		for _, drain := range []bool{false, true} {
			ta.operator.draining.Store(drain)
			res, err := http.Get(ta.operatorURL + path)
			must.NoError(t, err)
			must.NoError(t, res.Body.Close())
			must.Eq(t, status, res.StatusCode, must.Sprint(path))
			must.Eq(t, drain, res.Close, must.Sprint(path))
		}
	}
}

// A watch must end with an error when the changes that it needs are no longer kept.
func TestWatchTooOld(t *testing.T) {
	ta := startAPI(t, DefaultSettings())
	cl := NewClient(ta.operator.serveForTest(t))
	defer cl.Close()
	var last WatchLine
	err := cl.Watch(context.Background(), 0, func(line WatchLine) error {
		last = line
		if line.Revision == 0 && line.Change == nil && line.Error == "" {
			data := []byte(`{"revision":90,"resources":[]}`) // the changes before a snapshot are not kept
			ok, err := ta.resources.Restore(data)
			must.True(t, ok)
			return err
		}
		return nil
	})
	must.NoError(t, err)
	must.StrContains(t, last.Error, "revision 0 is too old")
	var re *ReplyError
	must.True(t, errors.As(cl.Watch(context.Background(), 5, nil), &re))
	must.Eq(t, http.StatusGone, re.Status)
	must.Eq(t, 90, re.Revision)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	must.Error(t, cl.Watch(ctx, 95, func(line WatchLine) error { // 95 is ahead of this instance, which has no change to send
		must.Eq(t, WatchLine{Revision: 95}, line)
		return nil
	}))
}
