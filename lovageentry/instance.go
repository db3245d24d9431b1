package lovageentry

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"lovagestack/lovageadmission"
	"lovagestack/lovagebackend"
	"lovagestack/lovageconfig"
	"lovagestack/lovagedispatch"
	"lovagestack/lovagedomain"
	"lovagestack/lovagejob"
	"lovagestack/lovageledger"
	"lovagestack/lovagemember"
	"lovagestack/lovagemessage"
	"lovagestack/lovagemetric"
	"lovagestack/lovagepeer"
	"lovagestack/lovageplatform"
	"lovagestack/lovageresource"
	"lovagestack/lovagesync"
	"lovagestack/lovagetrace"
)

// Platform is the part of the users' platform that an instance uses.
type Platform interface {
	Read(ctx context.Context, keys ...string) ([]lovageplatform.Row, error)
	Scan(ctx context.Context, prefix string) ([]lovageplatform.Row, error)
	Commit(ctx context.Context, tx lovageplatform.Transaction) (lovageplatform.CommitResult, error)
	GetObject(ctx context.Context, name string) ([]byte, error)
	PutObject(ctx context.Context, name string, data []byte) error
	DeleteObject(ctx context.Context, name string) error
	Instances(ctx context.Context) ([]lovageplatform.Instance, error)
}

// Options are the dependencies of an Instance.
type Options struct {
	Settings lovageconfig.Settings
	Platform Platform
	Log      *zap.Logger            // nil logs nothing
	Metrics  *lovagemetric.Registry // nil uses a new registry
	Tracer   *lovagetrace.Tracer    // nil records no spans
	Policy   lovagedispatch.Policy  // empty means central; the other policies are for comparison
	Seed     uint64                 // seeds random choices, together with the time; 0 means a random seed
	Observer Observer               // notified of the instance's steps; may be nil
	Dial     Dial                   // opens connections to peers and workers; nil dials directly
}

// Dial opens a connection as net.Dialer.DialContext does.
type Dial = func(ctx context.Context, network, address string) (net.Conn, error)

// Instance is one entry instance. Its exported methods may be called from several goroutines at once.
type Instance struct {
	settings      lovageconfig.Settings
	id            string // settings.ID and a random suffix, so that a restarted process is a new instance
	peerAddress   string
	callerAddress string // advertised caller API address; may be empty
	platform      Platform
	log           *zap.Logger
	tracer        *lovagetrace.Tracer
	counts        *counts
	policy        lovagedispatch.Policy

	control             *controlLoop
	mesh                *lovagepeer.Mesh
	backend             *lovagebackend.Client
	store               *lovageresource.Store
	applied             *appliedRevision
	syncer              *lovagesync.Syncer
	table               *tableAccess
	ledgerWriter        failStopWriter
	fatal               chan error // receives the error that stops the instance
	peerDirectory       peerDirectory
	callerDirectory     callerDirectory
	domainRouter        *domainRouter
	servers             []Server
	inFlight            gauge // requests of callers and peers in progress
	openJobs            gauge // admitted jobs that have not ended or have tasks at workers
	recordCount         atomic.Int64
	evictedRecordCount  atomic.Int64
	stopping            atomic.Bool
	handOverDone        atomic.Bool
	usesRelays, isRelay atomic.Bool // the role of the instance, see lovagemember.Role
	observer            Observer
	pause               pauseGate

	lifetime       context.Context // cancelled when the instance stops, by Serve or Kill
	cancelLifetime context.CancelFunc
	stopped        <-chan struct{}
}

// maxLoggedChanges is the number of resource changes that the store logs, so that a watch can resume.
const maxLoggedChanges = 10_000

// loadTTLFactor is how long a load report is used, as a multiple of Heartbeat.Gone. The factor 2 leaves time for
// reports that come through relays.
const loadTTLFactor = 2

// New returns an instance, which Serve starts. New already listens on the peer address, so it returns an error if the
// address is in use.
func New(op Options) (*Instance, error) {
	if op.Log == nil {
		op.Log = zap.NewNop()
	}
	if op.Metrics == nil {
		op.Metrics = lovagemetric.New()
	}
	if op.Seed == 0 {
		op.Seed = rand.Uint64()
	}
	if op.Policy == "" {
		op.Policy = lovagedispatch.Central
	}
	rng := rand.New(rand.NewPCG(op.Seed, uint64(time.Now().UnixNano())))
	se := op.Settings
	in := &Instance{
		settings: se, id: se.ID + "-" + randomSuffix(rng), platform: op.Platform, tracer: op.Tracer,
		policy: op.Policy, counts: newCounts(op.Metrics), observer: op.Observer, fatal: make(chan error, 1),
		applied:       newAppliedRevision(),
		callerAddress: se.CallerAddress(),
		domainRouter:  newDomainRouter(se.DataCentre, loadTTLFactor*se.Heartbeat.Gone, rng.Uint64()),
	}
	if !lovagejob.ValidName(in.id) {
		return nil, errors.Newf("instance ID %q: the id in the settings is too long for the suffix of %d letters and digits",
			in.id, suffixLength)
	}
	in.log = op.Log.With(zap.String("instance", in.id))
	in.lifetime, in.cancelLifetime = context.WithCancel(context.Background())
	in.stopped = in.lifetime.Done()
	in.mesh = lovagepeer.New(lovagepeer.Options{
		Instance: in.id, DataCentre: se.DataCentre, Listen: se.Addresses.Peer.String(),
		AppliedRevision: func() int64 { return in.store.Revision() },
		Counters:        in.counts, SessionUp: in.sessionUp, SessionDown: in.sessionDown,
		Dial: op.Dial,
	}, (*peerHandler)(in))
	address, err := in.mesh.Listen()
	if err != nil {
		return nil, err
	}
	in.peerAddress = address
	in.backend = newBackend(op.Metrics, op.Dial)
	in.store = lovageresource.NewStore(maxLoggedChanges)
	in.ledgerWriter = in.newWriter("")
	in.table = newTableAccess(in)
	in.syncer = lovagesync.New(lovagesync.DefaultSettings(in.id), lovagesync.Dependencies{
		Table: op.Platform, ObjectStore: op.Platform,
		Writer: in.newWriter(lovageledger.SyncSuffix),
		Peers:  (*syncPeers)(in), Store: in.store, Log: in.log, Counters: syncCounters{in.counts},
	})
	in.control = newControlLoop(in, op.Policy, rng)
	in.counts.registerGauges(in)
	return in, nil
}

// newWriter returns a transaction writer with the table row operation/<id><suffix>.
func (in *Instance) newWriter(suffix string) failStopWriter {
	return failStopWriter{lovageplatform.NewWriter(in.platform, in.id+suffix, lovageplatform.WriterSettings{}), in}
}

// suffixLength is the length of the random ID suffix that distinguishes the successive processes of one instance.
const suffixLength = 6

func randomSuffix(rng *rand.Rand) string {
	const alphabet = "abcdefghijklmnopqrstuvwxyz0123456789"
	out := make([]byte, suffixLength)
	for i := range out {
		out[i] = alphabet[rng.IntN(len(alphabet))]
	}
	return string(out)
}

func newControlLoop(in *Instance, policy lovagedispatch.Policy, rng *rand.Rand) *controlLoop {
	se := in.settings
	dispatchSettings := lovagedispatch.DefaultSettings(in.id, se.DataCentre)
	dispatchSettings.Policy = policy
	dispatchSettings.MaxTotalTasks = se.Limits.QueuedTasks
	admission := lovageadmission.DefaultSettings(se.Limits.MemoryMB, se.Limits.MaxFiles)
	return &controlLoop{
		in: in, log: in.log, events: make(chan event, eventBacklog), now: time.Now(),
		core: lovagedispatch.New(dispatchSettings, rng),
		ledger: lovageledger.New(lovageledger.Settings{
			Instance: in.id, DataCentre: se.DataCentre, Address: in.peerAddress, Rand: rng,
			LeaseTTL: se.Lease.TTL, RenewInterval: se.Lease.Renewal,
			MaxRecords: se.Limits.Records, MaxAnswerBytes: int(admission.AnswerBytes),
		}),
		content: contentMemory{settings: admission},
		membership: lovagemember.New(lovagemember.Settings{
			Instance: in.id, DataCentre: se.DataCentre, Address: in.peerAddress,
			SuspectAfter: se.Heartbeat.Suspect, GoneAfter: se.Heartbeat.Gone, HeartbeatInterval: se.Heartbeat.Interval,
			MeshInstances: se.Heartbeat.MeshInstances,
		}),
		requests: make(map[uint64]*request), abandonHooks: make(map[uint64]*abandonHook), jobs: make(map[uint64]*job),
		jobsByKey: make(map[lovagejob.Key]*job), submissions: make(map[submissionID]*pendingSubmission), peerCallReplies: make(map[uint64]chan<- any),
		heartbeatTargetStates: make(map[string]*heartbeatTarget), deltas: newDeltaTracker(),
		leavingWorkers: make(map[string]bool), estimateCopies: make(map[string]*estimateCopy),
		domains: domains{layout: lovagedomain.Divide(nil, 0), expansions: make(expansions)},
		drained: make(chan struct{}), introduction: newIntroduction(),
	}
}

// Server is an API server that the instance supervises and shuts down.
type Server interface {
	Serve(ctx context.Context) error
	Drain()                             // asks callers to close their connections
	Shutdown(ctx context.Context) error // stops listening and waits for the requests in progress
}

// AddServer adds a server. It must be called before Serve. Servers are shut down in the order in which they were added.
func (in *Instance) AddServer(srv Server) { in.servers = append(in.servers, srv) }

// ID returns the ID of this process. A restarted process has another ID.
func (in *Instance) ID() string { return in.id }

// IsRelay reports whether the instance is the relay of its data centre.
func (in *Instance) IsRelay() bool { return in.isRelay.Load() }

// PeerAddress returns the address on which the instance listens for peers.
func (in *Instance) PeerAddress() string { return in.peerAddress }

// Syncer returns the configuration sync, which serves the requests of operators.
func (in *Instance) Syncer() *lovagesync.Syncer { return in.syncer }

// lifetimeContext returns the context of work that must continue until the instance has stopped.
func (in *Instance) lifetimeContext() context.Context { return in.lifetime }

// namedService gives a supervised service a name. Without a name, suture formats the service's fields, recursively
// through the instance, while other goroutines change these fields.
type namedService struct {
	suture.Service
	name string
}

// String returns the name.
func (ns namedService) String() string { return ns.name }

// Serve runs the instance until ctx ends. It then finishes the work in flight and hands over the key ranges, for at
// most settings.Shutdown.Deadline. It returns the number of requests that were cut off, and an error if the instance
// stopped before ctx ended.
func (in *Instance) Serve(ctx context.Context) (cutRequests int, err error) {
	sup := suture.New("entry", suture.Spec{EventHook: in.supervisorEvent, Timeout: 5 * time.Second})
	traffic := suture.New("traffic", suture.Spec{EventHook: in.supervisorEvent})
	traffic.Add(namedService{in.mesh, "mesh"})
	platform := suture.New("platform", suture.Spec{EventHook: in.supervisorEvent})
	platform.Add(namedService{&tableReader{in.table}, "tableReader"})
	platform.Add(namedService{&tableWriter{in.table}, "tableWriter"})
	platform.Add(namedService{&listReader{in: in}, "listReader"})
	platform.Add(namedService{in.syncer, "keeper"})
	platform.Add(namedService{newCleanup(in), "cleanup"})
	control := suture.New("control", suture.Spec{EventHook: in.supervisorEvent})
	control.Add(namedService{in.control, "controlLoop"})
	control.Add(namedService{&resourceWatcher{in: in}, "resourceWatcher"})
	servers := suture.New("servers", suture.Spec{EventHook: in.supervisorEvent})
	for _, srv := range in.servers {
		servers.Add(namedService{srv, "server"})
	}
	servers.Add(namedService{in.tracer, "tracer"})
	sup.Add(control)
	sup.Add(servers)
	sup.Add(traffic)
	sup.Add(platform)
	done := sup.ServeBackground(in.lifetime)
	for _, seed := range in.settings.Peers.Seeds {
		if address := seed.String(); address != in.peerAddress {
			in.mesh.Connect("", address)
		}
	}
	in.log.Info("instance started", zap.String("dataCentre", in.settings.DataCentre), zap.String("peer", in.peerAddress))
	stopped := false
	select {
	case <-ctx.Done():
		cutRequests = in.shutDown()
	case err = <-in.fatal:
		err = errors.Wrap(err, "the rows of this process were deleted, because it had not renewed its lease for 10 min")
		cutRequests = int(in.inFlight.value())
	case err = <-done:
		stopped = true
		err = errors.Wrap(err, "the supervisor stopped")
	}
	in.cancelLifetime()
	in.backend.Close()
	if !stopped {
		<-done
	}
	in.log.Info("instance stopped", zap.Int("cut", cutRequests))
	return cutRequests, err
}

func (in *Instance) supervisorEvent(ev suture.Event) {
	if in.lifetime.Err() != nil {
		return
	}
	in.counts.serviceRestarts.Inc(1)
	in.log.Error("service of the instance failed and is restarted", zap.String("event", ev.String()))
}

func (in *Instance) sessionUp(peer string) {
	in.control.post(in.lifetimeContext(), &sessionOpened{peer: peer})
}

func (in *Instance) sessionDown(peer string, refused bool) {
	in.control.post(in.lifetimeContext(), &memberEvent{lovagemember.SessionDown{Instance: peer, Refused: refused}})
}

// callPeer sends a request to a peer within a new tracing span.
func (in *Instance) callPeer(ctx context.Context, address string, req *lovagemessage.Request) (*lovagemessage.Response, error) {
	if address == "" {
		return nil, errors.New("the peer's address is not known")
	}
	ctx, span := in.tracer.Start(ctx, lovagetrace.PeerHop)
	span.SetString("kind", lovagepeer.Kind(req))
	// The message may be sent to several peers, so the trace context is added to a copy.
	req = &lovagemessage.Request{Body: req.Body}
	in.tracer.InjectRequest(ctx, req)
	res, err := in.mesh.Call(ctx, address, req)
	span.End(err)
	return res, err
}

type syncPeers Instance

// Peers returns the instances to fetch changes from.
func (sp *syncPeers) Peers() []lovagesync.Peer { return sp.peerDirectory.getSyncTargets().pull }

// PushTargets returns the instances to which a change is pushed. from is the peer that pushed the change here, or "".
func (sp *syncPeers) PushTargets(from string) []lovagesync.Peer {
	return sp.peerDirectory.pushTargets(from)
}

// Call sends a request to a peer.
func (sp *syncPeers) Call(ctx context.Context, address string, req *lovagemessage.Request) (*lovagemessage.Response, error) {
	return (*Instance)(sp).callPeer(ctx, address, req)
}

type peerHandler Instance

// Handle serves one request, on its own goroutine.
func (ph *peerHandler) Handle(ctx context.Context, from string, req *lovagemessage.Request) (*lovagemessage.Response, error) {
	in := (*Instance)(ph)
	defer in.pause.wait()
	ctx = in.tracer.ExtractRequest(ctx, req)
	switch body := req.GetBody().(type) {
	case *lovagemessage.Request_Heartbeat:
		return in.handleHeartbeat(ctx, from, body.Heartbeat)
	case *lovagemessage.Request_Submit:
		return in.handleSubmit(ctx, body.Submit)
	case *lovagemessage.Request_Ask:
		return in.handleAsk(ctx, body.Ask)
	case *lovagemessage.Request_Cancel:
		return in.handleCancel(ctx, body.Cancel)
	case *lovagemessage.Request_Mint:
		return in.handleMint(ctx, body.Mint)
	case *lovagemessage.Request_Accept:
		return in.handleAccept(ctx, from, body.Accept)
	case *lovagemessage.Request_ResultCopy:
		return in.handleResultCopy(ctx, from, body.ResultCopy)
	case *lovagemessage.Request_Transfer:
		return in.handleTransfer(ctx, from, body.Transfer)
	case *lovagemessage.Request_Estimates:
		return in.handleEstimates(ctx, body.Estimates)
	case *lovagemessage.Request_ConfigDelta, *lovagemessage.Request_ConfigAsk:
		return in.syncer.Handle(ctx, from, req)
	}
	return nil, errors.Newf("request %q is not known", lovagepeer.Kind(req))
}
