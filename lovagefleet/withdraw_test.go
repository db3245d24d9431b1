package lovagefleet

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"lovagestack/lovagepool"
)

// Guards against requests of a peer that stay in progress after their jobs have been withdrawn: their number is limited.
func TestWithdrawnJobIsAnswered(t *testing.T) {
	de := deploy(t)
	owner := de.owner("east")
	de.awaitWorkers(owner, 3)
	no := de.nodes[owner]
	wo := testWork(randomID(), 1, time.Minute)
	wo.Deadline = time.Now().Add(time.Minute)
	ended := make(chan lovagepool.FinishJob, 1)
	go func() {
		fi, err := no.submitLocal(t.Context(), &lovagepool.Job{Ref: "peer/1", Work: wo}, func() string { return "" })
		test.NoError(t, err)
		ended <- fi
	}()
	for known := make(chan bool); ; time.Sleep(time.Millisecond) {
		no.post(func(time.Time) { known <- no.jobWaiters["peer/1"] != nil })
		if <-known {
			break
		}
	}
	must.NoError(t, no.serveWithdraw(t.Context(), "peer/1"))
	select {
	case fi := <-ended:
		must.Eq(t, lovagepool.Cancelled, fi.Outcome)
	case <-time.After(20 * time.Second):
		t.Fatal("the request is not answered")
	}
}
