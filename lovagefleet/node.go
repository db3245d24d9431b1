package lovagefleet

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lovagestack/lovagemetric"
	"lovagestack/lovagepeer"
	"lovagestack/lovagepool"
	"lovagestack/lovagetrace"
)

// Settings of a Node. All are required.
type Settings struct {
	ID          string
	DataCentre  string
	DataCentres []string // all of them, in the same order on every instance
	PeerListen  string   // address for sessions with other instances
	Cores       float64  // processor share of the process; those with more become owners first
	Pool        lovagepool.Settings
}

// Dependencies of a Node. All but Tracer are required.
type Dependencies struct {
	Store    Store
	Registry Registry
	Workers  WorkerClient
	Metrics  *lovagemetric.Registry
	Logger   Logger
	Tracer   *lovagetrace.Tracer // nil records no spans
}

// Node is one instance. Its methods are safe for concurrent use.
type Node struct {
	settings      Settings
	store         Store
	registry      Registry
	workerClient  WorkerClient
	log           *zap.Logger
	decisions     Logger
	tracer        *lovagetrace.Tracer
	mesh          *lovagepeer.Mesh
	started       time.Time
	self          instanceRow
	counts        lovagemetric.CounterFamily
	responseTimes lovagemetric.TimerFamily // from the arrival of a job to its answer, by outcome

	events           chan func(now time.Time)
	ctx              context.Context
	config           atomic.Pointer[Configuration]
	owners           sync.Map // domain name to ownerRef
	peerReports      sync.Map // instance ID to serviceReports
	peerAddresses    sync.Map // instance ID to the address of its sessions
	refusedInstances sync.Map // IDs of instances whose machines have refused a connection since the last look
	reclaimDomains   sync.Map // names of domains that need a higher fence
	workerList       atomic.Pointer[[]RegisteredWorker]
	leaving          atomic.Bool
	lastLostCall     atomic.Pointer[time.Time]                        // when a call to a worker was last lost; nil: never
	fetchingConfig   atomic.Bool                                      // a peer is being asked for its configuration
	ownReports       atomic.Pointer[map[string]lovagepool.LoadReport] // last report to the peers, nil without workers
	ownsWorkers      atomic.Bool                                      // orders workers of at least one domain
	allHandedOver    atomic.Bool                                      // all domains have been handed over
	nextRef          atomic.Int64

	// Owned by ownershipLoop.
	members          map[string]*member
	domains          map[string]*domain
	heartbeats       int64
	rowLeaving       bool // what the own row says about leaving
	storeUnavailable bool
	ownershipWake    chan struct{}
	takeOverRequests chan takeOverRequest

	registryWake chan struct{}

	// Owned by loop.
	pool            *lovagepool.Pool
	fences          map[string]int64     // of the domains whose workers this instance orders
	claimedAt       map[string]time.Time // when each of these domains was claimed
	registryReadAt  time.Time            // when the read of the registry began from which the workers are known
	handOvers       map[string]*handOver // domains being handed over
	awaitedReleases map[string]awaitedRelease
	links           map[string]*link
	waiters         map[string]*waiter
	publishedCounts map[string]int64
	stopWaiters     map[string][]chan struct{} // for the end of all runs of a cancelled job, by its reference
	sentReports     sentReports
}

// ownerRef is the owner of a domain, under a fence.
type ownerRef struct {
	ID, Address string
	self        bool
	fence       int64
}

// waiter awaits the end of a job of this instance's pool, or of a loan.
type waiter struct {
	result       chan lovagepool.FinishJob
	traceContext context.Context // carries the span of the request
	submitted    time.Time
	started      bool // a task has been ordered
}

// handing is a domain of which the new owner gets the workers one by one.
type handOver struct {
	address string // address
	state   handOverState
	pending map[string]bool // once taken: workers that still have runs of this instance
}

type handOverState string

const (
	handOverRequested   handOverState = "asked"   // the other instance has not answered yet
	handOverUnconfirmed handOverState = "unknown" // no answer has confirmed it; the domain's row will tell, and until then nothing changes
	handOverAccepted    handOverState = "taken"   // the domain has a new owner
)

// awaitedRelease is a domain that a former owner is handing over worker by worker.
type awaitedRelease struct {
	from     string
	until    time.Time
	released map[string]bool
}

const (
	// eventQueueSize is how many events may wait for the control loop.
	eventQueueSize = 4096
	// tickInterval is how often leases and deadlines are checked while jobs are in progress, idleTickInterval otherwise.
	tickInterval     = 20 * time.Millisecond
	idleTickInterval = 100 * time.Millisecond
	// releaseTimeout is how long a new owner waits for a worker that the former owner hands over; most tasks last less
	// than a second.
	releaseTimeout = 3 * time.Second
	// pingInterval and pingTimeout of peer sessions. A caller sends a job again 1.3 s after it lost its connection; until
	// then the loss of the instance that held the connection must have been noticed and the job's runs stopped.
	pingInterval = 250 * time.Millisecond
	pingTimeout  = 400 * time.Millisecond
)

// New returns a node; Run starts it.
func New(se Settings, de Dependencies) *Node {
	now := time.Now()
	no := &Node{
		settings: se, store: de.Store, registry: de.Registry, workerClient: de.Workers, log: de.Logger.Zap(), decisions: de.Logger,
		tracer: de.Tracer, started: now,
		self: instanceRow{
			ID: se.ID, DataCentre: se.DataCentre, Address: se.PeerListen, Incarnation: strconv.FormatInt(now.UnixNano(), 36), Cores: se.Cores,
		},
		counts:        de.Metrics.Counter("fleet_events", "decisions and events of the instance", lovagemetric.LabelEvent),
		responseTimes: de.Metrics.Timer("fleet_response", "from the arrival of a job to its answer", lovagemetric.LabelOutcome),
		events:        make(chan func(time.Time), eventQueueSize),
		members:       map[string]*member{}, domains: map[string]*domain{},
		ownershipWake: make(chan struct{}, 1), registryWake: make(chan struct{}, 1), takeOverRequests: make(chan takeOverRequest, 16),
		pool: lovagepool.New(se.Pool), fences: map[string]int64{}, claimedAt: map[string]time.Time{}, handOvers: map[string]*handOver{},
		awaitedReleases: map[string]awaitedRelease{}, links: map[string]*link{}, waiters: map[string]*waiter{},
		publishedCounts: map[string]int64{}, stopWaiters: map[string][]chan struct{}{},
	}
	no.pool.OnDecision = no.logDecision
	no.mesh = lovagepeer.New(lovagepeer.Options{
		Instance: se.ID, DataCentre: se.DataCentre, Listen: se.PeerListen, Address: se.PeerListen,
		Counters:    lovagemetric.PeerCounters{Registry: de.Metrics},
		SessionDown: no.sessionDown, SessionUp: func(string) { no.wakeOwnership() },
		PingInterval: pingInterval, PingTimeout: pingTimeout, WriteTimeout: pingTimeout,
		DialTimeout: pingTimeout, HandshakeTimeout: pingTimeout, MaxBackoff: pingTimeout,
	}, no)
	return no
}

// Ready reports whether callers may be sent here.
func (no *Node) Ready() bool { return no.config.Load() != nil && !no.leaving.Load() }

// Configuration returns the newest known configuration, or nil.
func (no *Node) Configuration() *Configuration { return no.config.Load() }

// Leave hands over what the instance owns. Jobs in progress go on; the instance goes on answering its callers.
func (no *Node) Leave() {
	no.leaving.Store(true)
	no.log.Info("leaving")
	no.wakeOwnership()
}

func (no *Node) wakeOwnership() {
	select {
	case no.ownershipWake <- struct{}{}:
	default:
	}
}

func (no *Node) wakeRegistry() {
	select {
	case no.registryWake <- struct{}{}:
	default:
	}
}

// sessionDown hears that a peer cannot be reached.
func (no *Node) sessionDown(instance string, refused bool) {
	no.peerReports.Delete(instance)
	no.post(func(time.Time) { no.pool.RemovePeer(instance) })
	if refused {
		no.refusedInstances.Store(instance, true)
		no.wakeOwnership()
	}
}

// AwaitIdle waits until no job of another instance is in progress here and all workers have been handed over, or until
// ctx ends.
func (no *Node) AwaitIdle(ctx context.Context) {
	for ctx.Err() == nil {
		idle := make(chan bool, 1)
		no.post(func(time.Time) { idle <- no.pool.Idle() && !no.handOverInProgress() })
		select {
		case ok := <-idle:
			if ok {
				return
			}
		case <-ctx.Done():
		}
		sleep(ctx, tickInterval)
	}
}
