package lovagetrial

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"lovagestack/lovagejob"
	"lovagestack/lovageresource"
)

// relayTrial is a deployment whose data centres exchange heartbeats through relays.
type relayTrial struct {
	*Deployment
	t        *testing.T
	ctx      context.Context
	operator *Operator
	revision int64
}

func newRelayTrial(t *testing.T) *relayTrial {
	t.Helper()
	de, err := New(Options{MeshInstances: 2, DataCentres: []DataCentre{
		{Name: "kandla", Instances: 3, WorkerSpeeds: []float64{1}},
		{Name: "navlakhi", Instances: 2, WorkerSpeeds: []float64{1}},
		{Name: "gandhidham", Instances: 2, WorkerSpeeds: []float64{1}},
	}})
	must.NoError(t, err)
	t.Cleanup(de.Close)
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("table and calls:\n%s", de.Report())
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	t.Cleanup(cancel)
	return &relayTrial{Deployment: de, t: t, ctx: ctx, operator: de.NewOperator()}
}

func (rt *relayTrial) await(description string, condition func() bool) {
	rt.t.Helper()
	for !condition() {
		must.NoError(rt.t, pauseFor(rt.ctx, pollInterval), must.Sprintf("wait: %s", description))
	}
}

// awaitRelay waits until a data centre has exactly one relay and returns it.
func (rt *relayTrial) awaitRelay(dataCentre string) *Instance {
	rt.t.Helper()
	var relay *Instance
	rt.await("one relay in "+dataCentre, func() bool {
		n := 0
		for _, it := range rt.Running() {
			if it.DataCentre == dataCentre && it.Entry.IsRelay() {
				relay, n = it, n+1
			}
		}
		return n == 1
	})
	return relay
}

// requireJobsComplete submits a repeatable and a non-repeatable job at each instance; all must complete.
func (rt *relayTrial) requireJobsComplete(phase string, instances ...*Instance) {
	rt.t.Helper()
	ca := rt.NewCaller()
	for _, it := range instances {
		for _, repeatable := range []bool{true, false} {
			var keys []string
			rt.await("a key at "+it.Name, func() bool {
				var err error
				keys, err = ca.Mint(rt.ctx, it, 1, repeatable)
				return err == nil && len(keys) == 1
			})
			an, err := ca.SubmitUntilFinal(rt.ctx,
				NewJob(keys[0], repeatable, 2, time.Millisecond, time.Now().Add(20*time.Second)), it)
			must.NoError(rt.t, err)
			must.Eq(rt.t, lovagejob.Complete, an.Outcome, must.Sprintf("%s, %s: %s", phase, it.Name, an.Reason))
		}
	}
}

// revisionHeardTimeout limits the wait until every instance has heard from every other, which takes about a second. It
// is below the minute after which instances forget an ended relay, so that waiting for that relay fails the test.
const revisionHeardTimeout = 30 * time.Second

// requireInForce changes the team at an instance and requires that the change comes into force. Every running instance
// must also learn that all of them have applied it.
func (rt *relayTrial) requireInForce(phase string, at *Instance) {
	rt.t.Helper()
	team := lovageresource.DefaultTeam()
	rt.await("a change at "+at.Name, func() bool {
		li, err := rt.operator.Read(rt.ctx, at)
		if err != nil {
			return false
		}
		re := lovageresource.Resource{Kind: lovageresource.KindTeam, Name: TeamName}
		for _, old := range li.Resources {
			if old.Kind == re.Kind && old.Name == re.Name {
				re.Revision = old.Revision
			}
		}
		team.Weight = 2 + float64(li.Revision)
		re.Spec = team
		res, err := rt.operator.Put(rt.ctx, at, re)
		rt.revision = res.Revision
		return err == nil && res.Outcome == lovageresource.WriteAccepted
	})
	must.NoError(rt.t, rt.operator.AwaitInForce(rt.ctx, rt.revision), must.Sprint(phase))
	running, deadline := rt.Running(), time.Now().Add(revisionHeardTimeout)
	for _, it := range running {
		rt.await(it.Name+" hears of the revision at all", func() bool {
			must.True(rt.t, time.Now().Before(deadline), must.Sprintf("%s: %s does not hear from all", phase, it.Name))
			_, applied := it.Entry.Syncer().InForce(rt.revision)
			for _, other := range running {
				hasApplied := false
				for _, ap := range applied {
					hasApplied = hasApplied || ap.Instance == other.ID() && ap.Answered && ap.Revision >= rt.revision
				}
				if !hasApplied {
					return false
				}
			}
			return true
		})
	}
}

// hasHeardFrom reports whether an instance has recently heard from another one, directly or through relays.
func hasHeardFrom(it, other *Instance) bool {
	_, applied := it.Entry.Syncer().InForce(0)
	for _, ap := range applied {
		if ap.Instance == other.ID() {
			return ap.Answered
		}
	}
	return false
}

// Checks that relays forward jobs and configuration changes, and that a data centre stays reachable when its relay is
// killed.
func TestRelayIsKilled(t *testing.T) {
	rt := newRelayTrial(t)
	rt.requireJobsComplete("with relays", rt.Instances()...)
	relay := rt.awaitRelay("kandla")
	var nonRelay *Instance
	for _, it := range rt.Instances() {
		if it.DataCentre == "navlakhi" && it != rt.awaitRelay("navlakhi") {
			nonRelay = it
		}
	}
	rt.requireInForce("with relays", nonRelay)
	relay.Kill()
	newRelay := rt.awaitRelay("kandla")
	must.NotEq(t, relay.ID(), newRelay.ID())
	rt.requireInForce("after the relay was killed", nonRelay)
	rt.requireJobsComplete("after the relay was killed", rt.Running()...)
	rt.await("the relay is silent for everybody", func() bool {
		for _, it := range rt.Running() {
			if hasHeardFrom(it, relay) {
				return false
			}
		}
		return true
	})
	rt.requireInForce("after the relay was gone", nonRelay)
	_, err := relay.Restart()
	must.NoError(t, err)
	rt.requireInForce("after the relay's restart", newRelay)
	must.Len(t, 0, Check(rt.Evidence()))
}

// Checks that a data centre connects to the others again after a partition.
func TestPartitionWithRelays(t *testing.T) {
	rt := newRelayTrial(t)
	var partitioned, connected []*Instance
	for _, it := range rt.Instances() {
		if it.DataCentre == "gandhidham" {
			partitioned = append(partitioned, it)
		} else {
			connected = append(connected, it)
		}
	}
	rt.Partition("gandhidham", true)
	rt.await("the partition is noticed", func() bool {
		return !hasHeardFrom(connected[0], partitioned[0]) && !hasHeardFrom(partitioned[0], connected[0])
	})
	rt.requireJobsComplete("during the partition", connected...)
	rt.Partition("gandhidham", false)
	rt.requireInForce("after the partition", partitioned[0])
	rt.requireInForce("after the partition", connected[0])
	rt.requireJobsComplete("after the partition", rt.Instances()...)
	must.Len(t, 0, Check(rt.Evidence()))
}
