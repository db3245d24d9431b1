package lovagetrial

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"lovagestack/lovageapi"
	"lovagestack/lovageconfig"
	"lovagestack/lovageentry"
	"lovagestack/lovagefake"
	"lovagestack/lovageledger"
	"lovagestack/lovageplatform"
	"lovagestack/lovagetrace"
)

// Instance is one process of an entry instance. After Kill or ShutDown it remains as a record.
type Instance struct {
	Name, DataCentre             string
	Entry                        *lovageentry.Instance
	CallerClient, OperatorClient *lovageapi.Client

	callerAddress string

	deployment     *Deployment
	servers        []*lovageapi.Server
	node           string // node name in links; unique, so that each process has its own links
	platform       *lovageplatform.Client
	stop           context.CancelFunc
	done           chan struct{} // closed when the process has ended
	cutRequests    int           // number of requests that a shutdown cut off; valid when done is closed
	serveErr       error
	faulted        atomic.Bool               // a fault of the trial has hit the process
	killed         atomic.Bool               // Kill was called
	stopping       atomic.Bool               // ShutDown was called
	acceptedBefore atomic.Pointer[time.Time] // callers' connections opened before this time were accepted
	callerRelay    *lovagefake.Relay         // between callers and the process; nil without Options.CallerLinks

	mu          sync.Mutex
	resumeEntry func()
	resumed     chan struct{} // closed by Resume; nil unless paused
}

type stepObserver struct{ instance atomic.Pointer[Instance] }

// Reached reports the step to the trial, and blocks while the instance is paused.
func (ob *stepObserver) Reached(st lovageentry.Step) {
	it := ob.instance.Load()
	if it == nil || it.killed.Load() {
		return
	}
	if it.deployment.options.OnStep != nil {
		it.deployment.options.OnStep(it, st)
	}
	it.awaitResume()
}

// StartInstance starts an instance with running instances as seeds. If the name was used before, this is a restart: a
// new process with new addresses.
func (de *Deployment) StartInstance(name, dataCentre string) (*Instance, error) {
	de.startMu.Lock()
	defer de.startMu.Unlock()
	it := &Instance{Name: name, DataCentre: dataCentre, deployment: de, done: make(chan struct{})}
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	se := lovageconfig.Defaults()
	se.ID, se.DataCentre = name, dataCentre
	se.Addresses = lovageconfig.Addresses{Caller: loopback, Operator: loopback, Peer: loopback}
	ti := de.options.Timing
	se.Lease = lovageconfig.Lease{TTL: ti.LeaseTTL, Renewal: ti.LeaseRenewal}
	se.Heartbeat = lovageconfig.Heartbeat{
		Interval: ti.Heartbeat, Suspect: ti.Suspect, Gone: ti.Gone,
		MeshInstances: se.Heartbeat.MeshInstances,
	}
	if de.options.MeshInstances > 0 {
		se.Heartbeat.MeshInstances = de.options.MeshInstances
	}
	se.Shutdown = lovageconfig.Shutdown{BalancerLag: ti.BalancerLag, Deadline: ti.ShutdownDeadline}
	se.Platform.Timeout = ti.PlatformTimeout
	for _, other := range de.Instances() {
		// With relay instances there is only one seed, because heartbeats to more seeds would hide faults of relays.
		if other.Running() && (de.options.MeshInstances == 0 || len(se.Peers.Seeds) == 0) {
			se.Peers.Seeds = append(se.Peers.Seeds, netip.MustParseAddrPort(other.Entry.PeerAddress()))
		}
	}
	if err := it.build(se); err != nil {
		return nil, errors.Wrapf(err, "start instance %s", name)
	}
	de.links.addAddress(it.Entry.PeerAddress(), it.node)
	de.platform.PutInstance(lovageplatform.Instance{
		ID: name, DataCentre: dataCentre, Kind: lovageplatform.KindEntry, Address: it.Entry.PeerAddress(),
		State: lovageplatform.StateLive,
	})
	de.mu.Lock()
	if _, ok := de.instances[name]; !ok {
		de.instanceNames = append(de.instanceNames, name)
	}
	de.instances[name] = it
	de.processes = append(de.processes, it)
	de.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	it.stop = cancel
	go it.run(ctx)
	return it, nil
}

// build creates the platform client, the entry instance and its API servers.
func (it *Instance) build(se lovageconfig.Settings) error {
	de := it.deployment
	de.mu.Lock()
	it.node = fmt.Sprintf("%s#%d", se.ID, len(de.processes)) // unique: processes are started one at a time
	seed := de.options.Seed + uint64(len(de.processes))
	de.mu.Unlock()
	address := de.platformAddress
	ob := &stepObserver{}
	op := lovageentry.Options{Settings: se, Log: de.options.Log, Seed: seed, Policy: de.options.Policy, Observer: ob}
	if !de.options.DirectLinks {
		li, _, err := de.links.linkTo(it.node, de.platformAddress)
		if err != nil || li == nil {
			return errors.CombineErrors(errors.New("no link to the platform"), err)
		}
		address, op.Dial = li.relay.Address(), de.links.dialer(it.node)
	}
	platform, err := lovageplatform.NewClient(lovageplatform.ClientSettings{
		Addresses: []string{address}, Timeout: se.Platform.Timeout, ID: it.node,
	})
	if err != nil {
		return err
	}
	it.platform, op.Platform = platform, platform
	if op.Tracer, err = lovagetrace.New(context.Background(), lovagetrace.Settings{
		Instance: se.ID, DataCentre: se.DataCentre,
	}); err != nil {
		return err
	}
	if it.Entry, err = lovageentry.New(op); err != nil {
		return err
	}
	ob.instance.Store(it)
	return it.addServers(se, de.options.Log)
}

func (it *Instance) addServers(se lovageconfig.Settings, log *zap.Logger) error {
	callerSrv, err := lovageapi.NewCallerServer(lovageapi.DefaultSettings(), it.Entry, log)
	if err != nil {
		return err
	}
	operatorSrv, err := lovageapi.NewOperatorServer(lovageapi.DefaultSettings(), it.Entry.Syncer(), it.Entry, log)
	if err != nil {
		return err
	}
	if err := callerSrv.Listen(se.Addresses.Caller.String()); err != nil {
		return err
	}
	if err := operatorSrv.Listen(se.Addresses.Operator.String()); err != nil {
		return err
	}
	it.servers = []*lovageapi.Server{callerSrv, operatorSrv}
	it.Entry.AddServer(&callerServer{Server: callerSrv, instance: it})
	it.Entry.AddServer(operatorSrv)
	address := callerSrv.Address()
	advertised := address
	if it.deployment.options.Advertise != nil {
		advertised = it.deployment.options.Advertise(it.Name, advertised)
	}
	it.Entry.Advertise(advertised)
	it.callerAddress = address
	if it.deployment.options.CallerLinks {
		if it.callerRelay, err = lovagefake.NewRelay(address); err != nil {
			return err
		}
		address = it.callerRelay.Address()
	}
	it.CallerClient, it.OperatorClient = lovageapi.NewFixedClient(address), lovageapi.NewFixedClient(operatorSrv.Address())
	return nil
}

// callerServer is a caller API server that records until when it accepted connections.
type callerServer struct {
	*lovageapi.Server
	instance *Instance
}

// Shutdown first makes a request on a new connection. The server accepts connections in order, so it then waits for the
// requests on all earlier connections, however busy the machine is.
func (cs *callerServer) Shutdown(ctx context.Context) error {
	now := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+cs.Address()+"/", nil)
	if err != nil {
		return err
	}
	tr := &http.Transport{DisableKeepAlives: true}
	if res, err := tr.RoundTrip(req); err == nil {
		_ = res.Body.Close()
		cs.instance.acceptedBefore.CompareAndSwap(nil, &now)
	}
	return cs.Server.Shutdown(ctx)
}

func (it *Instance) run(ctx context.Context) {
	defer close(it.done)
	it.cutRequests, it.serveErr = it.Entry.Serve(ctx)
	it.deployment.links.removeAddress(it.Entry.PeerAddress())
	it.deployment.links.closeDialledBy(it.node)
	it.platform.Close()
}

// ID returns the ID under which other instances know the process.
func (it *Instance) ID() string { return it.Entry.ID() }

// Running reports whether the process has neither ended nor been told to end.
func (it *Instance) Running() bool { return !it.ended() && !it.killed.Load() && !it.stopping.Load() }

func (it *Instance) ended() bool {
	select {
	case <-it.done:
		return true
	default:
		return false
	}
}

// Faulted reports whether a fault of the trial has hit the process.
func (it *Instance) Faulted() bool { return it.faulted.Load() }

func (it *Instance) waitAndClose() {
	<-it.done
	it.CallerClient.Close()
	it.OperatorClient.Close()
	if it.callerRelay != nil {
		it.callerRelay.Close()
	}
}

// Kill ends the process abruptly: its connections are closed first, then it stops without a hand-over.
func (it *Instance) Kill() {
	it.faulted.Store(true)
	it.killed.Store(true)
	it.deployment.links.removeAddress(it.Entry.PeerAddress())
	it.deployment.links.closeDialledBy(it.node)
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	for _, srv := range it.servers {
		_ = srv.Shutdown(expired) // closes all connections at once and so returns an error
	}
	it.Entry.Kill()
	it.Resume()
}

// Restart starts the instance as a new process, after Kill or ShutDown.
func (it *Instance) Restart() (*Instance, error) {
	<-it.done
	return it.deployment.StartInstance(it.Name, it.DataCentre)
}

// ShutDown ends the process gracefully, waits for its end, and records how many requests were cut off.
func (it *Instance) ShutDown() (cutRequests int, err error) {
	it.stopping.Store(true)
	began := time.Now()
	it.stop()
	<-it.done
	it.deployment.platform.RemoveInstance(it.Name)
	sh := ShutdownRecord{
		Process: it.ID(), Began: began, Ended: time.Now(), CutRequests: it.cutRequests, Faulted: it.faulted.Load(),
	}
	if at := it.acceptedBefore.Load(); at != nil {
		sh.AcceptedUntil = *at
	}
	it.deployment.evidence.addShutdown(sh)
	return it.cutRequests, it.serveErr
}

// Pause stops the control loop and the answers of the process and holds back the bytes on its links, until Resume.
func (it *Instance) Pause() {
	it.mu.Lock()
	defer it.mu.Unlock()
	if it.resumeEntry != nil || it.killed.Load() {
		return
	}
	it.faulted.Store(true)
	it.resumed = make(chan struct{})
	it.resumeEntry = it.Entry.Pause()
	it.deployment.forEachLink(it, func(ls *links, a, b string) {
		ls.changeState(a, b, func(st *linkState) { st.held = true })
	})
}

// Resume ends a pause.
func (it *Instance) Resume() {
	it.mu.Lock()
	defer it.mu.Unlock()
	if it.resumeEntry == nil {
		return
	}
	it.deployment.forEachLink(it, func(ls *links, a, b string) {
		ls.changeState(a, b, func(st *linkState) { st.held = false })
	})
	it.resumeEntry()
	close(it.resumed)
	it.resumeEntry, it.resumed = nil, nil
}

func (it *Instance) awaitResume() {
	it.mu.Lock()
	resumed := it.resumed
	it.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// Instance returns the latest process of the named instance, which may have ended.
func (de *Deployment) Instance(name string) *Instance {
	de.mu.Lock()
	defer de.mu.Unlock()
	return de.instances[name]
}

// Instances returns the latest process of each instance, in the order of their first start.
func (de *Deployment) Instances() []*Instance {
	de.mu.Lock()
	defer de.mu.Unlock()
	out := make([]*Instance, 0, len(de.instanceNames))
	for _, name := range de.instanceNames {
		out = append(out, de.instances[name])
	}
	return out
}

// Running returns the processes that have neither ended nor been told to end.
func (de *Deployment) Running() []*Instance {
	return slices.DeleteFunc(de.Instances(), func(it *Instance) bool { return !it.Running() })
}

// Processes returns every process that was ever started.
func (de *Deployment) Processes() []*Instance {
	de.mu.Lock()
	defer de.mu.Unlock()
	return slices.Clone(de.processes)
}

// ownsBothRangeKinds reports whether the table shows a range of the instance without a replica and, unless the instance
// is alone, one with a replica.
func (de *Deployment) ownsBothRangeKinds(ctx context.Context, it *Instance) bool {
	rows, err := de.platform.Memory().Scan(ctx, "range/")
	if err != nil {
		return false
	}
	unreplicated, replicated := false, len(de.Instances()) == 1
	for _, row := range rows {
		var ro lovageledger.RangeRow
		if json.Unmarshal(row.Value, &ro) != nil || ro.Owner != it.ID() || !strings.HasPrefix(row.Key, "range/") {
			continue
		}
		if ro.Replica == "" {
			unreplicated = true
		} else {
			replicated = true
		}
	}
	return unreplicated && replicated
}
