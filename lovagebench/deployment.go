package lovagebench

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"lovagestack/lovageapi"
	"lovagestack/lovageconfig"
	"lovagestack/lovagedispatch"
	"lovagestack/lovageentry"
	"lovagestack/lovagefake"
	"lovagestack/lovagejob"
	"lovagestack/lovageload"
	"lovagestack/lovagemetric"
	"lovagestack/lovageplatform"
	"lovagestack/lovageresource"
)

// dataCentres are the users' data centres.
var dataCentres = []string{"kandla", "navlakhi", "gandhidham"}

// workerSpeeds differ by up to a factor of 3. Workers get them in turn, so that each data centre has the same mix.
var workerSpeeds = []float64{0.6, 0.9, 1.2, 1.8}

const (
	slotsPerWorker       = 8
	connectionsPerWorker = 64
	readyTimeout         = 20 * time.Second
)

// instance is an entry instance with its API servers.
type instance struct {
	entry                        *lovageentry.Instance
	metrics                      *lovagemetric.Registry
	callerServer, operatorServer *lovageapi.Server
	client                       *lovageapi.Client
	callerAddress                string
	dataCentre                   string
	killed                       atomic.Bool
	stop                         context.CancelFunc
	done                         chan struct{}
}

func (in *instance) run(ctx context.Context) {
	defer close(in.done)
	_, _ = in.entry.Serve(ctx) // after Kill, Serve returns an error as expected
}

// kill stops the instance without a hand-over, as a crash of its process would.
func (in *instance) kill() {
	in.killed.Store(true)
	in.entry.Kill()
	<-in.done
}

// deployment is a platform with its workers and entry instances.
type deployment struct {
	op                  Options
	va                  Variant
	memory              *lovageplatform.Memory
	platformServer      *httptest.Server
	fakePlatform        *lovagefake.Platform
	clients             []*lovageplatform.Client
	workers             []*lovagefake.Worker
	speeds              []float64
	pools               []lovageresource.Resource
	dataCentreByAddress map[string]string // by address of a peer or worker; read-only once an instance runs
	instances           []*instance
}

// newDeployment starts a deployment and waits until every instance has applied the resources.
func newDeployment(ctx context.Context, op Options, va Variant) (*deployment, error) {
	de := &deployment{op: op, va: va, dataCentreByAddress: map[string]string{}}
	de.setUpPlatform()
	de.platformServer = httptest.NewServer(de.fakePlatform)
	err := de.startWorkers()
	if err == nil {
		err = de.startInstances(ctx)
	}
	if err == nil {
		err = errors.Wrap(de.putResources(ctx), "declare the resources")
	}
	if err != nil {
		de.close()
		return nil, err
	}
	return de, nil
}

// setUpPlatform creates a platform stand-in with the latency and limits of the users' platform.
func (de *deployment) setUpPlatform() {
	de.memory = lovageplatform.NewMemory()
	de.fakePlatform = lovagefake.NewLimitedPlatform(de.memory, lovageplatform.LimitSettings{})
}

func (de *deployment) startWorkers() error {
	perDataCentre := de.op.Workers / len(dataCentres)
	for _, dc := range dataCentres {
		pool := lovageresource.Pool{DataCentre: dc}
		for _, se := range de.op.Services {
			pool.Services = append(pool.Services, se.Name)
		}
		for i := range perDataCentre {
			speed := workerSpeeds[i%len(workerSpeeds)]
			wo := lovagefake.NewWorker(lovagefake.WorkerSettings{
				ID: fmt.Sprintf("%s-w%d", dc, i), DataCentre: dc, Slots: slotsPerWorker, Connections: connectionsPerWorker,
				Speed: speed,
			})
			address, err := wo.Listen("127.0.0.1:0")
			if err != nil {
				return err
			}
			de.setDataCentre(address, dc)
			de.workers, de.speeds = append(de.workers, wo), append(de.speeds, speed)
			in := wo.Instance()
			de.fakePlatform.PutInstance(in)
			pool.Workers = append(pool.Workers, lovageresource.Worker{
				ID: in.ID, Address: netip.MustParseAddrPort(address), Slots: slotsPerWorker, Connections: connectionsPerWorker,
			})
		}
		de.pools = append(de.pools, lovageresource.Resource{Kind: lovageresource.KindPool, Name: dc, Spec: pool})
	}
	return nil
}

// startInstances registers all instances on the platform before it runs them, so that they find each other.
func (de *deployment) startInstances(ctx context.Context) error {
	for _, dc := range dataCentres {
		for i := range de.op.InstancesPerDataCentre {
			in, err := de.newInstance(fmt.Sprintf("%s-%d", dc, i), dc)
			if err != nil {
				return errors.Wrapf(err, "start instance %s-%d", dc, i)
			}
			de.instances = append(de.instances, in)
			de.setDataCentre(in.entry.PeerAddress(), dc)
			de.fakePlatform.PutInstance(lovageplatform.Instance{
				ID: fmt.Sprintf("%s-%d", dc, i), DataCentre: dc, Kind: lovageplatform.KindEntry,
				Address: in.entry.PeerAddress(), State: lovageplatform.StateLive,
			})
		}
	}
	for _, in := range de.instances {
		sctx, stop := context.WithCancel(context.WithoutCancel(ctx))
		in.stop, in.done = stop, make(chan struct{})
		go in.run(sctx)
	}
	return nil
}

func (de *deployment) newInstance(id, dc string) (*instance, error) {
	client, err := lovageplatform.NewClient(lovageplatform.ClientSettings{
		Addresses: []string{de.platformServer.Listener.Addr().String()}, Timeout: 2 * time.Second, ID: id,
	})
	if err != nil {
		return nil, err
	}
	de.clients = append(de.clients, client)
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	se := lovageconfig.Defaults()
	se.ID, se.DataCentre = id, dc
	se.Addresses = lovageconfig.Addresses{Caller: anyPort, Operator: anyPort, Peer: anyPort}
	se.Shutdown.BalancerLag, se.Shutdown.Deadline = 0, 100*time.Millisecond // no job is in progress when a deployment is closed
	in := &instance{metrics: lovagemetric.New(), dataCentre: dc}
	in.entry, err = lovageentry.New(lovageentry.Options{
		Settings: se, Platform: client, Metrics: in.metrics, Policy: de.va.Policy, Seed: de.op.Seeds[0],
		Dial: de.dialFrom(dc),
	})
	if err != nil {
		return nil, err
	}
	api := lovageapi.DefaultSettings()
	if in.callerServer, err = lovageapi.NewCallerServer(api, in.entry, zap.NewNop()); err != nil {
		return nil, err
	}
	if in.operatorServer, err = lovageapi.NewOperatorServer(api, in.entry.Syncer(), in.entry, zap.NewNop()); err != nil {
		return nil, err
	}
	for _, srv := range []*lovageapi.Server{in.callerServer, in.operatorServer} {
		if err := srv.Listen("127.0.0.1:0"); err != nil {
			return nil, err
		}
		in.entry.AddServer(srv)
	}
	in.callerAddress = in.callerServer.Address()
	in.entry.Advertise(in.callerAddress)
	dial := lovageapi.WithDial(delayedDial(func(string) time.Duration { return de.op.Latency.Callers }))
	if de.va.OwnerAddress {
		in.client = lovageapi.NewClient(in.callerAddress, dial)
	} else {
		in.client = lovageapi.NewFixedClient(in.callerAddress, dial)
	}
	return in, nil
}

func (de *deployment) setDataCentre(address, dc string) {
	if de.dataCentreByAddress != nil {
		de.dataCentreByAddress[address] = dc
	}
}

// dialFrom returns the function with which an instance in the data centre dials peers and workers, or nil if there is no
// latency to add.
func (de *deployment) dialFrom(dc string) lovageentry.Dial {
	if de.op.Latency.DataCentres <= 0 {
		return nil
	}
	return delayedDial(func(address string) time.Duration {
		if other := de.dataCentreByAddress[address]; other == "" || other == dc {
			return 0
		}
		return de.op.Latency.DataCentres
	})
}

// putResources sends the services, teams and pools to an instance and waits until every instance has applied them.
func (de *deployment) putResources(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	admin := lovageapi.NewClient(de.instances[0].operatorServer.Address())
	defer admin.Close()
	var resources []lovageresource.Resource
	teams := map[string]bool{}
	for _, se := range de.op.Services {
		sp := lovageresource.DefaultService()
		sp.RunTime = lovageresource.Duration(200 * time.Millisecond)
		sp.MaxRunTime = lovageresource.Duration(2 * time.Minute)
		// With the default of 0.1, a seventh of the jobs, the large ones first, failed under the policies that give instances
		// no shares of the slots. Failed jobs have no response time, so these policies looked better than they are.
		sp.RetryBudget = 1
		resources = append(resources, lovageresource.Resource{Kind: lovageresource.KindService, Name: se.Name, Spec: sp})
		if !teams[se.Team] {
			teams[se.Team] = true
			resources = append(resources, lovageresource.Resource{
				Kind: lovageresource.KindTeam, Name: se.Team, Spec: lovageresource.DefaultTeam(),
			})
		}
	}
	resources = append(resources, de.pools...)
	for _, re := range resources {
		if err := putResource(ctx, admin, re); err != nil {
			return err
		}
	}
	return de.awaitInstances(ctx, len(resources))
}

// putResource sends a resource until the instance accepts it or ctx is done.
func putResource(ctx context.Context, admin *lovageapi.Client, re lovageresource.Resource) error {
	for {
		res, err := admin.Put(ctx, re)
		if err == nil && res.Outcome == lovageresource.WriteAccepted {
			return nil
		}
		if err == nil && res.Outcome == lovageresource.WriteConflict {
			return nil // an earlier attempt took effect, because nobody else writes resources
		}
		if !sleep(ctx, 50*time.Millisecond) {
			return errors.Newf("%s %s: %s, %v", re.Kind, re.Name, res.Outcome, err)
		}
	}
}

// awaitInstances waits until every instance has applied the resources and mints keys of both kinds into its own ranges.
// An instance without a range requests keys from a peer, and the peer then owns the jobs. Because of this, five sixths
// of the jobs that are not repeatable once were forwarded to one instance. Under Central, one instance mints all keys.
func (de *deployment) awaitInstances(ctx context.Context, resources int) error {
	for {
		problem, err := de.readinessProblem(ctx, resources)
		if err != nil {
			return err
		}
		if problem == "" {
			return nil
		}
		if !sleep(ctx, 200*time.Millisecond) {
			return errors.Newf("the instances are not ready: %s", problem)
		}
	}
}

type keyRange struct {
	dataCentre string
	number     int
}

// readinessProblem describes why the instances are not ready, or returns "".
func (de *deployment) readinessProblem(ctx context.Context, resources int) (string, error) {
	owners, centralRanges := map[keyRange]int{}, map[bool]keyRange{}
	for i, in := range de.instances {
		co, err := in.counters()
		if err != nil {
			return "", err
		}
		if applied := co["lovage_applied_revision"]; applied < float64(resources) {
			return fmt.Sprintf("%s is at revision %g of %d", in.entry.ID(), applied, resources), nil
		}
		if co[`lovage_peer_responses_sent_total{kind="heartbeat"}`] < float64(len(de.instances)-1) {
			return in.entry.ID() + " has not answered heartbeats of all peers", nil
		}
		for _, repeatable := range []bool{false, true} {
			mi, err := in.client.Mint(ctx, lovagejob.MintRequest{Count: 1, Repeatable: repeatable})
			if err != nil || len(mi.Keys) == 0 {
				return fmt.Sprintf("%s mints no keys (repeatable %t): %v", in.entry.ID(), repeatable, err), nil
			}
			rg := keyRange{mi.Keys[0].DataCentre, mi.Keys[0].Range}
			if de.va.Policy == lovagedispatch.Central {
				if i > 0 && centralRanges[repeatable] != rg {
					return fmt.Sprintf("%s mints into another range than the previous instances (repeatable %t)",
						in.entry.ID(), repeatable), nil
				}
				centralRanges[repeatable] = rg
				continue
			}
			if owner, taken := owners[rg]; taken && owner != i {
				return fmt.Sprintf("%s mints into a range of another instance (repeatable %t)", in.entry.ID(), repeatable), nil
			}
			owners[rg] = i
		}
	}
	return "", nil
}

// counters returns the metrics of the instance by name and labels.
func (in *instance) counters() (map[string]float64, error) {
	var buf bytes.Buffer
	if err := in.entry.WriteMetrics(&buf); err != nil {
		return nil, err
	}
	return lovageload.ParseCounters(&buf)
}

// freeWorkers returns the workers with their free slots.
func (de *deployment) freeWorkers() []lovageload.Worker {
	out := make([]lovageload.Worker, len(de.workers))
	for i, wo := range de.workers {
		out[i] = lovageload.Worker{Speed: de.speeds[i], Slots: slotsPerWorker - wo.RunningTasks()}
	}
	return out
}

// speedOf returns the speed of the worker with the ID, or 1 if there is none.
func (de *deployment) speedOf(id string) float64 {
	for i, wo := range de.workers {
		if wo.Instance().ID == id {
			return de.speeds[i]
		}
	}
	return 1
}

// allWorkers returns the workers with all their slots.
func (de *deployment) allWorkers() []lovageload.Worker {
	out := make([]lovageload.Worker, len(de.workers))
	for i := range de.workers {
		out[i] = lovageload.Worker{Speed: de.speeds[i], Slots: slotsPerWorker}
	}
	return out
}

// close stops the instances before the workers and the platform.
func (de *deployment) close() {
	for _, in := range de.instances {
		in.client.Close()
		if in.stop != nil {
			in.stop()
		}
	}
	for _, in := range de.instances {
		if in.done != nil {
			<-in.done
		}
	}
	for _, wo := range de.workers {
		wo.Close()
	}
	for _, cl := range de.clients {
		cl.Close()
	}
	de.fakePlatform.Close()
	de.platformServer.CloseClientConnections()
	de.platformServer.Close()
}

// sleep waits for d. It returns false if ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	ti := time.NewTimer(d)
	defer ti.Stop()
	select {
	case <-ti.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// isFinalStatus reports whether a reply with the HTTP status needs no retry.
func isFinalStatus(status int) bool {
	return status < http.StatusInternalServerError && status != http.StatusTooManyRequests
}
