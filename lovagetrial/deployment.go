package lovagetrial

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"lovagestack/lovagedispatch"
	"lovagestack/lovageentry"
	"lovagestack/lovagefake"
	"lovagestack/lovageplatform"
	"lovagestack/lovageresource"
)

// Names of the resources that New declares.
const (
	ServiceName = "ticket"
	TeamName    = "gate"
)

// DataCentre describes a data centre of a deployment.
type DataCentre struct {
	Name         string
	Instances    int       // number of instances, named <name>-1, <name>-2 and so on
	WorkerSpeeds []float64 // speeds of the workers <name>-w0, <name>-w1 and so on
}

// Timing holds the timings of a deployment. If all are zero, New uses ShortTiming.
type Timing struct {
	LeaseTTL, LeaseRenewal                      time.Duration
	Heartbeat, Suspect, Gone                    time.Duration
	PlatformTimeout                             time.Duration
	BalancerLag, ShutdownDeadline, ReadyTimeout time.Duration // ReadyTimeout limits how long New waits
}

// ShortTiming returns timings about ten times shorter than an instance's defaults. A replica then takes over after about
// a second, the shortest time after which a peer that refuses sessions counts as gone.
func ShortTiming() Timing {
	return Timing{
		LeaseTTL: 600 * time.Millisecond, LeaseRenewal: 150 * time.Millisecond,
		Heartbeat: 100 * time.Millisecond, Suspect: 400 * time.Millisecond, Gone: 800 * time.Millisecond,
		PlatformTimeout: 500 * time.Millisecond,
		BalancerLag:     100 * time.Millisecond, ShutdownDeadline: 10 * time.Second, ReadyTimeout: 30 * time.Second,
	}
}

// Options configure a deployment. The functions may be nil.
type Options struct {
	DataCentres   []DataCentre
	Slots         int // number of slots of each worker; 0 means 8
	Connections   int // maximum number of connections that each worker accepts; 0 means 64
	Timing        Timing
	Seed          uint64 // seed of the instances' random choices and the run times; 0 means 1
	MeshInstances int    // setting heartbeat.meshInstances; 0 means the default
	DirectLinks   bool   // no relays between nodes: no link faults and no overhead
	Policy        lovagedispatch.Policy
	Log           *zap.Logger // nil logs nothing

	// Advertise returns the address that an instance advertises to callers instead of its caller address.
	Advertise func(name, address string) string
	// OnStep is called at each step of an instance, on the goroutine that takes the step.
	OnStep func(it *Instance, st lovageentry.Step)
	// OnTaskStart is called when a worker starts a task.
	OnTaskStart func(task string)
	// OnWorkerReply is called before a worker replies; leaving tells whether the reply says that the worker is leaving.
	OnWorkerReply func(worker string, leaving bool)
	// CallerLinks puts a relay between callers and each instance. Otherwise callers connect directly, and an instance
	// that does not listen refuses their connections.
	CallerLinks bool
}

// Deployment is a running deployment, safe for concurrent use.
type Deployment struct {
	options         Options
	platform        *lovagefake.Platform
	platformServer  *http.Server
	platformServing sync.WaitGroup
	platformAddress string
	links           *links
	workers         []*Worker
	evidence        *recorder

	startMu       sync.Mutex // held while a process starts
	mu            sync.Mutex
	instances     map[string]*Instance // current or last process of each instance, by instance name
	instanceNames []string
	processes     []*Instance // all processes ever started
}

// Worker is a stand-in worker, with the values that its pool declares.
type Worker struct {
	*lovagefake.Worker
	ID, DataCentre, Address string
}

// New starts a deployment and declares a service, a team and a pool for each data centre. It waits until every instance
// has applied these resources and owns ranges for repeatable and for unrepeatable keys.
func New(op Options) (*Deployment, error) {
	if op.Timing == (Timing{}) {
		op.Timing = ShortTiming()
	}
	if op.Slots == 0 {
		op.Slots = 8
	}
	if op.Connections == 0 {
		op.Connections = 64
	}
	if op.Seed == 0 {
		op.Seed = 1
	}
	if op.Log == nil {
		op.Log = zap.NewNop()
	}
	de := &Deployment{options: op, links: newLinks(), evidence: newRecorder(), instances: map[string]*Instance{}}
	if err := de.start(); err != nil {
		de.Close()
		return nil, err
	}
	return de, nil
}

func (de *Deployment) start() error {
	if err := de.startPlatform(); err != nil {
		return err
	}
	for _, dc := range de.options.DataCentres {
		for i, speed := range dc.WorkerSpeeds {
			if err := de.startWorker(dc.Name, i, speed); err != nil {
				return err
			}
		}
	}
	for _, dc := range de.options.DataCentres {
		for i := range dc.Instances {
			if _, err := de.StartInstance(fmt.Sprintf("%s-%d", dc.Name, i+1), dc.Name); err != nil {
				return err
			}
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), de.options.Timing.ReadyTimeout)
	defer cancel()
	if err := de.declareResources(ctx); err != nil {
		return err
	}
	return de.awaitKeyRanges(ctx)
}

func (de *Deployment) startPlatform() error {
	de.platform = lovagefake.NewPlatform(lovageplatform.NewMemory())
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for the platform")
	}
	de.platformAddress = li.Addr().String()
	de.links.addAddress(de.platformAddress, PlatformNode)
	de.platformServer = &http.Server{Handler: de.platform, ReadHeaderTimeout: time.Minute}
	de.platformServing.Go(func() { _ = de.platformServer.Serve(li) })
	return nil
}

func (de *Deployment) startWorker(dataCentre string, number int, speed float64) error {
	id := fmt.Sprintf("%s-w%d", dataCentre, number)
	wo := &Worker{ID: id, DataCentre: dataCentre, Worker: lovagefake.NewWorker(lovagefake.WorkerSettings{
		ID: id, DataCentre: dataCentre, Slots: de.options.Slots, Connections: de.options.Connections, Speed: speed, Seed: de.options.Seed,
		OnStart: func(task string) { de.recordOffer(id, task, false) },
		OnReply: func(task string, leaving, notStarted bool) { de.onWorkerReply(id, task, leaving, notStarted) },
	})}
	address, err := wo.Listen("127.0.0.1:0")
	if err != nil {
		return err
	}
	wo.Address = address
	de.workers = append(de.workers, wo)
	de.links.addAddress(address, id)
	de.platform.PutInstance(wo.Instance())
	return nil
}

// recordOffer records that a worker received a task, which it started or refused.
func (de *Deployment) recordOffer(worker, task string, refused bool) {
	of := Offer{Worker: worker, Task: task, At: time.Now(), Refused: refused}
	de.evidence.update(func(ev *Evidence) { ev.Offers = append(ev.Offers, of) })
	if !refused && de.options.OnTaskStart != nil {
		de.options.OnTaskStart(task)
	}
}

func (de *Deployment) onWorkerReply(worker, task string, leaving, notStarted bool) {
	if notStarted {
		de.recordOffer(worker, task, true)
	}
	if de.options.OnWorkerReply != nil {
		de.options.OnWorkerReply(worker, leaving)
	}
}

// declareResources creates the resources at the first instance and waits until every instance has applied them.
func (de *Deployment) declareResources(ctx context.Context) error {
	resources := []lovageresource.Resource{
		{Kind: lovageresource.KindService, Name: ServiceName, Spec: defaultService()},
		{Kind: lovageresource.KindTeam, Name: TeamName, Spec: lovageresource.DefaultTeam()},
	}
	for _, dc := range de.options.DataCentres {
		pool := lovageresource.Pool{DataCentre: dc.Name, Services: []string{ServiceName}}
		for _, wo := range de.workers {
			if wo.DataCentre == dc.Name {
				pool.Workers = append(pool.Workers, lovageresource.Worker{
					ID: wo.ID, Address: netip.MustParseAddrPort(wo.Address), Slots: de.options.Slots, Connections: de.options.Connections,
				})
			}
		}
		if len(pool.Workers) > 0 {
			resources = append(resources, lovageresource.Resource{Kind: lovageresource.KindPool, Name: "pool-" + dc.Name, Spec: pool})
		}
	}
	op := de.NewOperator()
	var revision int64
	for _, re := range resources {
		for {
			res, err := op.Put(ctx, de.Instances()[0], re)
			if err == nil && (res.Outcome == lovageresource.WriteAccepted || res.Outcome == lovageresource.WriteUnchanged) {
				revision = max(revision, res.Revision)
				break
			}
			if err := pauseFor(ctx, pollInterval); err != nil {
				return errors.Wrapf(err, "declare %s %q", re.Kind, re.Name)
			}
		}
	}
	return errors.Wrap(op.AwaitInForce(ctx, revision), "declare the resources")
}

// defaultService returns a service whose tasks state their actual run time in their payload.
func defaultService() lovageresource.Service {
	sp := lovageresource.DefaultService()
	sp.RunTime = lovageresource.Duration(20 * time.Millisecond)
	return sp
}

// pollInterval is the pause between two checks of a condition that a trial waits for.
const pollInterval = 10 * time.Millisecond

func pauseFor(ctx context.Context, d time.Duration) error {
	ti := time.NewTimer(d)
	defer ti.Stop()
	select {
	case <-ti.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// awaitKeyRanges waits until every instance owns a range without a replica, for repeatable keys, and, if there are
// several instances, a range with a replica, for unrepeatable keys.
func (de *Deployment) awaitKeyRanges(ctx context.Context) error {
	for _, it := range de.Instances() {
		for !de.ownsBothRangeKinds(ctx, it) {
			if err := pauseFor(ctx, pollInterval); err != nil {
				return errors.Wrapf(err, "wait for the key ranges of %s", it.Name)
			}
		}
	}
	return nil
}

// Platform returns the stand-in platform, on which a test can set faults.
func (de *Deployment) Platform() *lovagefake.Platform { return de.platform }

// Workers returns the stand-in workers, on which a test can set faults.
func (de *Deployment) Workers() []*Worker { return de.workers }

// Close kills all processes and closes links, workers and platform.
func (de *Deployment) Close() {
	for _, it := range de.Processes() {
		it.Kill()
	}
	for _, it := range de.Processes() {
		it.waitAndClose()
	}
	de.links.close()
	for _, wo := range de.workers {
		wo.Close()
	}
	if de.platform != nil {
		de.platform.Close()
	}
	if de.platformServer != nil {
		_ = de.platformServer.Close()
	}
	de.platformServing.Wait()
}
