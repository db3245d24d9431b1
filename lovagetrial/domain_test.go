package lovagetrial

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"lovagestack/lovagedomain"
	"lovagestack/lovagejob"
	"lovagestack/lovageledger"
	"lovagestack/lovageload"
	"lovagestack/lovageresource"
)

// startTestDeployment starts a deployment and returns a context that limits the test's duration.
func startTestDeployment(t *testing.T, ti Timing, dcs ...DataCentre) (context.Context, *Deployment) {
	t.Helper()
	de, err := New(Options{DataCentres: dcs, Timing: ti})
	must.NoError(t, err)
	t.Cleanup(de.Close)
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("table and calls:\n%s", de.Report())
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	return ctx, de
}

// putAndAwaitInForce creates or replaces resources and waits until they are in force everywhere.
func putAndAwaitInForce(ctx context.Context, t *testing.T, de *Deployment, specs map[string]lovageresource.Spec) {
	t.Helper()
	op := de.NewOperator()
	var revision int64
	for name, spec := range specs {
		it := de.Running()[0]
		li, err := op.Read(ctx, it)
		must.NoError(t, err)
		res, err := op.Put(ctx, it, lovageresource.Resource{
			Kind: spec.Kind(), Name: name, Spec: spec, Revision: revisionOf(li.Resources, spec.Kind(), name),
		})
		must.NoError(t, err)
		must.Eq(t, lovageresource.WriteAccepted, res.Outcome, must.Sprint(res.Reason))
		revision = max(revision, res.Revision)
	}
	must.NoError(t, op.AwaitInForce(ctx, revision))
}

// awaitCondition waits until the condition is true or ctx ends.
func awaitCondition(ctx context.Context, t *testing.T, de *Deployment, description string, condition func() bool) {
	t.Helper()
	for !condition() {
		must.NoError(t, pauseFor(ctx, pollInterval), must.Sprintf("%s; %d tasks run", description, de.runningTasks()))
	}
}

// runningTasks counts the tasks that run at all workers.
func (de *Deployment) runningTasks() int {
	n := 0
	for _, wo := range de.Workers() {
		n += wo.RunningTasks()
	}
	return n
}

// Checks that the deciding instance uses a team's whole quota, because it decides for all slots. With only its share,
// as one of three instances in the data centre, it ran 2 tasks at a time instead of 6.
func TestDecidingInstanceHasTheWholeQuota(t *testing.T) {
	ctx, de := startTestDeployment(t, ShortTiming(), DataCentre{Name: "kandla", Instances: 3, WorkerSpeeds: []float64{1}})
	putAndAwaitInForce(ctx, t, de, map[string]lovageresource.Spec{TeamName: lovageresource.Team{Weight: 1, RunningTasks: 6}})
	ca, it := de.NewCaller(), de.Instances()[0]
	keys, err := ca.Mint(ctx, it, 1, false)
	must.NoError(t, err)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = ca.SubmitUntilFinal(ctx, NewJob(keys[0], false, 8, 30*time.Second, time.Now().Add(time.Minute)), it)
	}()
	awaitCondition(ctx, t, de, "six tasks run", func() bool { return de.runningTasks() >= 6 })
	for range 20 {
		must.Eq(t, 6, de.runningTasks())
		must.NoError(t, pauseFor(ctx, pollInterval))
	}
	_, err = ca.Cancel(ctx, it, keys[0])
	must.NoError(t, err)
	<-ended
	must.Len(t, 0, Check(de.Evidence()))
}

// mintedKeyOwner mints a key for a service at an instance. It returns the ID of the key's owner according to the table,
// or why it found none.
func (de *Deployment) mintedKeyOwner(ctx context.Context, t *testing.T, it *Instance, service string) string {
	t.Helper()
	mi, err := it.CallerClient.Mint(ctx, lovagejob.MintRequest{Service: service, Count: 1})
	if err != nil {
		return err.Error()
	}
	if mi.CallerAddress == "" {
		return "the reply names no caller address"
	}
	row := fmt.Sprintf("range/%s/%d", mi.Keys[0].DataCentre, mi.Keys[0].Range)
	rows, err := de.platform.Memory().Scan(ctx, row)
	must.NoError(t, err)
	for i := range rows {
		var ro lovageledger.RangeRow
		if rows[i].Key == row && json.Unmarshal(rows[i].Value, &ro) == nil {
			return ro.Owner
		}
	}
	return "no row " + row
}

// metricValue returns the value of an instance's metric, or 0 if the metric is missing.
func metricValue(t *testing.T, it *Instance, name string) float64 {
	t.Helper()
	var buf bytes.Buffer
	must.NoError(t, it.Entry.WriteMetrics(&buf))
	values, err := lovageload.ParseCounters(&buf)
	must.NoError(t, err)
	return values[name]
}

// decidingInstances returns, by domain, the IDs of the deciding instance and the next candidate, as lovagedomain chooses
// them. services names the service of each data centre's only pool.
func decidingInstances(running []*Instance, services map[string]string) map[string][]string {
	var pools []lovagedomain.Pool
	for dc, service := range services {
		pools = append(pools, lovagedomain.Pool{
			Name: "pool-" + dc, DataCentre: dc, Services: []string{service},
			Workers: []lovagedomain.Worker{{ID: dc + "-w0", Slots: 8}},
		})
	}
	var members []lovagedomain.Member
	for _, it := range running {
		members = append(members, lovagedomain.Member{ID: it.ID(), DataCentre: it.DataCentre})
	}
	la := lovagedomain.Divide(pools, 0)
	out := map[string][]string{}
	for i, ids := range la.Candidates(members, 2) {
		out[la.Domains[i].ID] = ids
	}
	return out
}

// Two services share no pool. Checks that only the instances that lovagedomain chooses decide and mint keys, that
// another instance decides after the deciding one is killed, and that jobs run only in their domain.
func TestServicesAreDecidedApart(t *testing.T) {
	ctx, de := startTestDeployment(t, ShortTiming(),
		DataCentre{Name: "kandla", Instances: 2, WorkerSpeeds: []float64{1}},
		DataCentre{Name: "navlakhi", Instances: 2, WorkerSpeeds: []float64{1}})
	op := de.NewOperator()
	li, err := op.Read(ctx, de.Instances()[0])
	must.NoError(t, err)
	i := slices.IndexFunc(li.Resources, func(re lovageresource.Resource) bool { return re.Name == "pool-navlakhi" })
	pool, ok := li.Resources[i].Spec.(lovageresource.Pool)
	must.True(t, ok)
	pool.Services = []string{"price"}
	putAndAwaitInForce(ctx, t, de, map[string]lovageresource.Spec{"price": defaultService()})
	putAndAwaitInForce(ctx, t, de, map[string]lovageresource.Spec{"pool-navlakhi": pool})
	services := map[string]string{"kandla": ServiceName, "navlakhi": "price"}
	for len(de.Running()) > 2 {
		deciding := decidingInstances(de.Running(), services)
		must.MapLen(t, 2, deciding)
		for dc, service := range services {
			for _, it := range de.Running() {
				awaitCondition(ctx, t, de, "keys for "+service+" come from "+deciding[service][0], func() bool {
					return de.mintedKeyOwner(ctx, t, it, service) == deciding[service][0]
				})
			}
			mi, err := de.Running()[0].CallerClient.Mint(ctx, lovagejob.MintRequest{Service: service, Count: 1})
			must.NoError(t, err)
			jo := NewJob(mi.Keys[0].String(), false, 4, 20*time.Millisecond, time.Now().Add(30*time.Second))
			jo.Service = service
			an, err := de.NewCaller().SubmitUntilFinal(ctx, jo, de.Running()...)
			must.NoError(t, err)
			must.Eq(t, lovagejob.Complete, an.Outcome, must.Sprint(an.Reason))
			for _, res := range an.Results {
				must.Eq(t, dc+"-w0", res.Worker)
			}
		}
		for _, it := range de.Running() {
			decides := slices.Contains([]string{deciding[ServiceName][0], deciding["price"][0]}, it.ID())
			awaitCondition(ctx, t, de, fmt.Sprintf("%s decides: %t", it.ID(), decides), func() bool {
				return metricValue(t, it, "lovage_domains_decided") == map[bool]float64{true: 1, false: 0}[decides]
			})
		}
		for _, it := range de.Running() {
			if it.ID() == deciding["price"][0] {
				it.Kill()
			}
		}
	}
	must.Len(t, 0, Check(de.Evidence()))
}

// Checks that key requests go to the next candidate while the deciding instance is paused.
func TestNextInstanceGivesKeys(t *testing.T) {
	ti := ShortTiming()
	ti.Suspect, ti.Gone = time.Hour, 2*time.Hour // no peer presumes that the paused instance is gone
	ctx, de := startTestDeployment(t, ti, DataCentre{Name: "kandla", Instances: 3, WorkerSpeeds: []float64{1}})
	deciding := decidingInstances(de.Running(), map[string]string{"kandla": ServiceName})[ServiceName]
	for _, it := range de.Running() {
		awaitCondition(ctx, t, de, "keys come from "+deciding[0], func() bool {
			return de.mintedKeyOwner(ctx, t, it, ServiceName) == deciding[0]
		})
	}
	var paused *Instance
	for _, it := range de.Running() {
		if it.ID() == deciding[0] {
			paused = it
			it.Pause()
		}
	}
	for _, it := range de.Running() {
		if it != paused {
			must.Eq(t, deciding[1], de.mintedKeyOwner(ctx, t, it, ServiceName))
			must.Positive(t, metricValue(t, it, `lovage_mints_total{reason="next"}`))
		}
	}
	paused.Resume()
	for _, it := range de.Running() {
		awaitCondition(ctx, t, de, "keys come from "+deciding[0], func() bool {
			return de.mintedKeyOwner(ctx, t, it, ServiceName) == deciding[0]
		})
	}
}

// Checks that no task starts twice and every job completes while two instances that cannot reach each other both decide
// for the same workers.
func TestViewsThatDiffer(t *testing.T) {
	ctx, de := startTestDeployment(t, ShortTiming(),
		DataCentre{Name: "kandla", Instances: 1, WorkerSpeeds: []float64{1}},
		DataCentre{Name: "navlakhi", Instances: 1, WorkerSpeeds: []float64{1}})
	both, ca := de.Instances(), de.NewCaller()
	sharedKeys, err := ca.Mint(ctx, both[0], 10, false)
	must.NoError(t, err)
	setCut := func(cut bool) {
		de.links.changeState(both[0].node, both[1].node, func(st *linkState) { st.cut = cut })
	}
	setCut(true)
	for _, it := range both {
		awaitCondition(ctx, t, de, it.Name+" decides for the domain", func() bool {
			return metricValue(t, it, "lovage_domains_decided") == 1
		})
	}
	done := make(chan struct{})
	jobs := 0
	submit := func(key string, at ...*Instance) {
		jobs++
		go func() {
			an, err := ca.SubmitUntilFinal(ctx,
				NewJob(key, false, 4, 50*time.Millisecond, time.Now().Add(30*time.Second)), at...)
			test.NoError(t, err)
			test.Eq(t, lovagejob.Complete, an.Outcome, test.Sprint(an.Reason))
			done <- struct{}{}
		}()
	}
	for i, it := range both {
		ownKeys, err := ca.Mint(ctx, it, 20, false)
		must.NoError(t, err)
		for _, key := range ownKeys {
			submit(key, it)
		}
		for _, key := range sharedKeys {
			submit(key, both[i], both[1-i])
		}
	}
	for range jobs / 2 {
		<-done
	}
	setCut(false)
	for range jobs - jobs/2 {
		<-done
	}
	notStarted := metricValue(t, both[0], `lovage_tasks_ended_total{state="notStarted"}`) +
		metricValue(t, both[1], `lovage_tasks_ended_total{state="notStarted"}`)
	must.Positive(t, notStarted, must.Sprint("no task was refused although both instances used the same slots"))
	must.Len(t, 0, Check(de.Evidence()))
}
