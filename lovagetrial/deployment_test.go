package lovagetrial

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"lovagestack/lovageentry"
	"lovagestack/lovagejob"
)

func newTestDeployment(t *testing.T) *Deployment {
	t.Helper()
	de, err := New(Options{DataCentres: []DataCentre{
		{Name: "kandla", Instances: 2, WorkerSpeeds: []float64{1, 0.5}},
		{Name: "navlakhi", Instances: 1, WorkerSpeeds: []float64{1}},
	}})
	must.NoError(t, err)
	t.Cleanup(de.Close)
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("table and calls:\n%s", de.Report())
		}
	})
	return de
}

// Checks that every instance answers a job, that a killed owner does not answer, and that a key is not lost with its
// owner: the replica runs the job of a key minted before the kill.
func TestKilledOwnerIsReplaced(t *testing.T) {
	de := newTestDeployment(t)
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	ca := de.NewCaller()
	owner := de.Instance("kandla-1")
	keys, err := ca.Mint(ctx, owner, 2, false)
	must.NoError(t, err)
	deadline := time.Now().Add(20 * time.Second)
	for _, it := range de.Instances() {
		an, err := ca.SubmitUntilFinal(ctx, NewJob(keys[0], false, 3, 10*time.Millisecond, deadline), it)
		must.NoError(t, err)
		must.Eq(t, lovagejob.Complete, an.Outcome, must.Sprintf("%s: %s", it.Name, an.Reason))
	}
	owner.Kill()
	_, err = ca.Ask(ctx, owner, keys[0], 0)
	must.Error(t, err)
	an, err := ca.SubmitUntilFinal(ctx, NewJob(keys[1], false, 3, 10*time.Millisecond, deadline), de.Instance("navlakhi-1"))
	must.NoError(t, err)
	must.Eq(t, lovagejob.Complete, an.Outcome, must.Sprintf("%s", an.Reason))
	// The answer is unknown if the owner was killed before it copied the answer to the replica.
	an, err = ca.Ask(ctx, de.Instance("kandla-2"), keys[0], 0)
	must.NoError(t, err)
	must.SliceContains(t, []lovagejob.Outcome{lovagejob.Complete, lovagejob.Unknown}, an.Outcome)
	_, err = owner.Restart()
	must.NoError(t, err)
	must.NoError(t, de.NewOperator().AwaitInForce(ctx, 4))
	must.Len(t, 0, Check(de.Evidence()))
}

// Checks that a shutdown cuts no request, and that a job submitted after the shutdown began completes. It must not wait
// for slots forever because the instance that shuts down accepted it.
func TestShutDownInADeployment(t *testing.T) {
	de := newTestDeployment(t)
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	ca := de.NewCaller()
	owner := de.Instance("kandla-1")
	keys, err := ca.Mint(ctx, owner, 1, false)
	must.NoError(t, err)
	lateKeys, err := ca.Mint(ctx, owner, 1, false)
	must.NoError(t, err)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		cut, err := owner.ShutDown()
		test.NoError(t, err)
		test.Zero(t, cut)
	}()
	for ready := true; ready; ready, _ = owner.Entry.Ready() {
		must.NoError(t, pauseFor(ctx, time.Millisecond))
	}
	lateJob := NewJob(lateKeys[0], false, 2, time.Millisecond, time.Now().Add(20*time.Second))
	an, err := ca.SubmitUntilFinal(ctx, lateJob, owner, de.Instance("kandla-2"))
	must.NoError(t, err)
	must.Eq(t, lovagejob.Complete, an.Outcome, must.Sprintf("%s", an.Reason))
	<-ended
	jo := NewJob(keys[0], false, 2, time.Millisecond, time.Now().Add(20*time.Second))
	an, err = ca.SubmitUntilFinal(ctx, jo, de.Instance("kandla-2"))
	must.NoError(t, err)
	must.Eq(t, lovagejob.Complete, an.Outcome, must.Sprintf("%s", an.Reason))
	must.Len(t, 0, Check(de.Evidence()))
}

// Checks that each hand-over is reported as StepHandOver. Otherwise trials wait for this step in vain. If the replica
// already has all records, the owner hands a range over by writing only the range's row, and must report that, too.
func TestHandOverToTheReplicaIsAStep(t *testing.T) {
	var handedOver atomic.Int64
	de, err := New(Options{
		DataCentres: []DataCentre{{Name: "kandla", Instances: 2, WorkerSpeeds: []float64{1}}},
		OnStep: func(it *Instance, st lovageentry.Step) {
			if st == lovageentry.StepHandOver && it.Name == firstInstanceName {
				handedOver.Add(1)
			}
		},
	})
	must.NoError(t, err)
	t.Cleanup(de.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	first := de.Instance(firstInstanceName)
	for !de.ownsBothRangeKinds(ctx, first) {
		must.NoError(t, pauseFor(ctx, pollInterval))
	}
	ca := de.NewCaller()
	keys, err := ca.Mint(ctx, first, 1, false) // in a range with a replica
	must.NoError(t, err)
	_, err = ca.SubmitUntilFinal(ctx, NewJob(keys[0], false, 1, time.Millisecond, time.Now().Add(10*time.Second)), first)
	must.NoError(t, err)
	_, err = first.ShutDown()
	must.NoError(t, err)
	// The range without a replica is handed over too.
	must.GreaterEq(t, int64(2), handedOver.Load())
}
