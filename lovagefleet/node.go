package lovagefleet

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"lovagestack/lovageclock"
	"lovagestack/lovagemetric"
	"lovagestack/lovagepeer"
	"lovagestack/lovagepool"
	"lovagestack/lovagetrace"
)

// Settings of a Node. All but EvacuateWithin, DrainBound, PeerMemory and Calls are required.
type Settings struct {
	ID          string
	DataCentre  string
	DataCentres []string // all data centres of the deployment, in the same order on every instance
	PeerListen  string   // address on which peer sessions are accepted
	Cores       float64  // CPU cores that the process may use; more are preferred for owners
	Pool        lovagepool.Settings
	// EvacuateWithin is the bound within which no task is started in a data centre any more that is to be evacuated. If it is 0, the
	// default bound applies, and neither a claim of a domain nor a pause is followed by a read of the requests before the next start.
	EvacuateWithin time.Duration
	// DrainBound is the time after which nothing may start on a worker that has registered as draining; 0: there is no such bound.
	DrainBound time.Duration
	// PeerMemory limits the large frames of peers in progress, in bytes; 0: the default of lovagepeer.
	PeerMemory int
	// Calls limits the calls to workers that start or stop runs and are under way at once; 0: no limit.
	Calls int
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

// Node dispatches the jobs of one instance. Its methods are safe for concurrent use.
type Node struct {
	settings             Settings
	store                Store
	registry             Registry
	workerClient         WorkerClient
	log                  *zap.Logger
	decisionLogger       Logger
	tracer               *lovagetrace.Tracer
	mesh                 *lovagepeer.Mesh
	startedAt            time.Time
	pauses               *lovageclock.PauseDetector // loop checks it at least every idleTickInterval
	self                 instanceRow
	counts               lovagemetric.CounterFamily
	responseTimes        lovagemetric.TimerFamily // from the arrival of a job to its answer, by outcome
	staleWorkers         metrics.GaugeFloat64     // number of workers that get no starts because their registrations are too old
	evacuatedDataCentres lovagemetric.GaugeFamily // number of data centres under evacuation, without labels

	eventQueue        chan event // functions that loop will call
	ctx               context.Context
	config            atomic.Pointer[Configuration]
	ownerByDomain     sync.Map                      // domain name to ownerRef
	peerReports       sync.Map                      // instance ID to serviceReports
	peerAddresses     sync.Map                      // instance ID to the address for peer sessions
	refusedInstances  sync.Map                      // IDs of instances whose machines refused a connection since the last read of the rows
	reclaimDomains    sync.Map                      // names of domains to claim again for a higher fence
	lastRegistrations atomic.Pointer[Registrations] // nil: not read yet
	contact           storeContact
	leaving           atomic.Bool
	lastLostCallAt    atomic.Pointer[time.Time] // time of the last unanswered call to a worker; nil: never
	lags              lagMeter                  // of ticks and timers
	latenesses        lagMeter                  // of ticks and of the events that loop handles; see lateness
	queueProbe        queueProbe
	linkCount         atomic.Int64 // number of links
	fetchingConfig    atomic.Bool
	ownReports        atomic.Pointer[map[string]lovagepool.LoadReport] // reports last sent, by service; nil: owns no domain
	ownsWorkers       atomic.Bool
	allHandedOver     atomic.Bool // leaving, and another instance has taken over a domain
	refCounter        atomic.Int64
	sent              sentJobs
	callers           callerJobs
	domainRowsRead    atomic.Bool // all domains' rows have been read and were usable
	evacuations       *evacuations
	closedOwners      atomic.Pointer[map[string]bool] // result of evacuatedOwners; nil: not known yet
	jobHolders        sync.Map                        // instance ID to the time.Time of its last load report or report of jobs that it holds

	// Used only by ownershipLoop, except for the channels.
	members          map[string]*member
	domains          map[string]*domain
	unusableRows     map[string]int64 // versions of the rows that were last found unusable, by key
	heartbeatCount   int64
	rowSaysLeaving   bool // the last written row says that this instance is leaving
	rowSaysSlow      bool // the last written row says that this instance is slow
	calls            callQueue
	queuedJobBytes   atomic.Int64 // memory of the jobs whose submitters wait
	pending          pendingCounts
	storeUnavailable bool
	slowness         slowness
	ownershipWake    chan struct{}
	takeOverRequests chan takeOverRequest

	registryWake chan struct{}
	readWhole    atomic.Bool // the next read of the registered workers reads all entries, not only the changes

	// Used only by loop.
	pool               *lovagepool.Pool
	poolConfigVersion  int64                // version of the configuration that the pool knows
	fenceByDomain      map[string]int64     // fence of each domain that is owned or still being released to a new owner
	claimedAt          map[string]time.Time // when this instance claimed the domain
	staleReported      bool                 // the log says that workers are excluded because their registrations are too old
	lastStaleAt        time.Time            // when a worker was last excluded for that
	handOvers          map[string]*handOver // hand-overs to other instances, by domain name
	unsentReleases     int                  // messages to new owners about released workers that are on their way
	awaitedReleases    map[string]awaitedRelease
	entryReads         entryReads
	links              map[string]*link       // by worker ID
	jobWaiters         map[string]*waiter     // by job reference
	publishedCounts    map[string]int64       // values of pool.Counts already added to the metrics
	stopWaiters        map[string][]chan bool // by job reference; get, once the cancelled job has no active run, whether it has completed
	sentReports        sentReports
	nextTick           time.Time     // when loop's next tick is due
	bootAhead          time.Duration // what the boot clock reads more than the time since startedAt; grows when the machine is suspended
	latenessReportedAt time.Time     // when loop last reported that it is late

	evacuationGeneration int64           // evacuations.generation as last passed to the pool
	evacuationDue        time.Time       // when the next notice of a request ends; zero: none is in progress
	closedDomains        map[string]bool // domains whose workers were closed for an evacuation, as logged
	pausedAt, holdUntil  time.Time       // starts are held after a pause (holdAfterPause); zero holdUntil: they are not
}

// ownerRef identifies the owner of a domain and its fence.
type ownerRef struct {
	ID, Address string
	isSelf      bool
	fence       int64
}

// waiter waits for the pool's answer to a job. The job may be tasks that a peer has offloaded.
type waiter struct {
	result       chan lovagepool.FinishJob
	traceContext context.Context // carries the span of the request
	submitted    time.Time
	startSent    bool // a start was sent for a task of the job
}

// handOver is the transfer of a domain whose workers the new owner gets one by one.
type handOver struct {
	newOwnerAddress string
	state           handOverState
	unreleased      map[string]bool // IDs of workers not yet released; set once accepted
}

type handOverState string

const (
	handOverRequested   handOverState = "asked"   // the other instance has not replied yet
	handOverUnconfirmed handOverState = "unknown" // refused or no reply; kept until the domain's row names the new owner
	handOverAccepted    handOverState = "taken"   // the domain has a new owner
)

// awaitedRelease is a domain that this instance takes over from its previous owner, worker by worker.
type awaitedRelease struct {
	previousOwner string
	deadline      time.Time // after it, the workers are used without a release
	released      map[string]bool
}

const (
	// eventQueueSize is the capacity of eventQueue.
	eventQueueSize = 4096
	// tickInterval is how often the pool checks leases and deadlines while jobs are in progress. idleTickInterval applies
	// without jobs.
	tickInterval     = 20 * time.Millisecond
	idleTickInterval = 100 * time.Millisecond
	// releaseTimeout is how long the new owner of a domain waits for the previous one to release the workers before it uses
	// them anyway. Most tasks take less than a second.
	releaseTimeout = 3 * time.Second
	// pingInterval and pingTimeout apply to peer sessions. A caller resubmits a job 1.3 s after losing its instance. An owner
	// that notices the loss earlier stops the job's runs; if it does not, their leases end by then (renewal.go).
	pingInterval = 250 * time.Millisecond
	pingTimeout  = 400 * time.Millisecond
)

// New returns a Node; call Run to start it.
func New(se Settings, de Dependencies) *Node {
	now := time.Now()
	no := &Node{
		settings: se, store: de.Store, registry: de.Registry, workerClient: de.Workers,
		log: de.Logger.Zap(), decisionLogger: de.Logger, tracer: de.Tracer, startedAt: now,
		pauses: lovageclock.NewPauseDetector(lovageclock.Boot, maxPause),
		self: instanceRow{
			ID: se.ID, DataCentre: se.DataCentre, Address: se.PeerListen,
			Incarnation: strconv.FormatInt(now.UnixNano(), 36), Cores: se.Cores,
		},
		counts:        de.Metrics.Counter("fleet_events", "decisions and events of the instance", lovagemetric.LabelEvent),
		responseTimes: de.Metrics.Timer("fleet_response", "from the arrival of a job to its answer", lovagemetric.LabelOutcome),
		staleWorkers: de.Metrics.Gauge("fleet_workers_stale",
			"workers that get no starts because their registrations were read too long ago").With(),
		eventQueue: make(chan event, eventQueueSize),
		members:    map[string]*member{}, domains: map[string]*domain{},
		ownershipWake: make(chan struct{}, 1), registryWake: make(chan struct{}, 1), takeOverRequests: make(chan takeOverRequest, 16),
		pool: lovagepool.New(se.Pool), fenceByDomain: map[string]int64{}, claimedAt: map[string]time.Time{},
		handOvers: map[string]*handOver{}, awaitedReleases: map[string]awaitedRelease{}, links: map[string]*link{},
		jobWaiters: map[string]*waiter{}, sent: sentJobs{byRef: map[string]sentJob{}}, callers: callerJobs{byName: map[jobName][]*callerJob{}},
		calls: callQueue{limit: se.Calls}, pending: pendingCounts{byQueue: map[string]*pendingCount{}},
		lags: lagMeter{period: lagPeriod}, latenesses: lagMeter{period: latenessPeriod},
		publishedCounts: map[string]int64{}, stopWaiters: map[string][]chan bool{},
		evacuations: newEvacuations(se.DataCentres, se.EvacuateWithin), closedDomains: map[string]bool{},
		evacuatedDataCentres: de.Metrics.Gauge("fleet_evacuated_data_centres", "data centres under evacuation, as this instance knows"),
	}
	no.pool.OnDecision = no.logDecision
	no.evacuatedDataCentres.With().Update(0)
	no.mesh = lovagepeer.New(lovagepeer.Options{
		Instance: se.ID, DataCentre: se.DataCentre, Listen: se.PeerListen, AdvertiseAddress: se.PeerListen,
		Counters:    lovagemetric.PeerCounters{Registry: de.Metrics},
		SessionDown: no.sessionDown, SessionUp: func(string) { no.wakeOwnershipLoop() },
		HandlerPanicked: func(kind string, value any, stack []byte) {
			no.log.Error("handler of a peer's request panicked", zap.String("kind", kind), zap.Any("value", value), zap.ByteString("stack", stack))
		},
		MaxFrameMemory: se.PeerMemory,
		PingInterval:   pingInterval, PingTimeout: pingTimeout, WriteTimeout: pingTimeout,
		DialTimeout: pingTimeout, HandshakeTimeout: pingTimeout, MaxBackoff: pingTimeout,
	}, no)
	return no
}

// Ready reports whether callers may be routed to this instance.
func (no *Node) Ready() bool { return no.config.Load() != nil && !no.leaving.Load() }

// Configuration returns the newest known configuration, or nil.
func (no *Node) Configuration() *Configuration { return no.config.Load() }

// Leave hands over all owned domains. Jobs in progress continue, and callers are still served.
func (no *Node) Leave() {
	no.leaving.Store(true)
	no.log.Info("leaving")
	no.wakeOwnershipLoop()
}

func (no *Node) wakeOwnershipLoop() {
	select {
	case no.ownershipWake <- struct{}{}:
	default:
	}
}

func (no *Node) wakeRegistryLoop() {
	select {
	case no.registryWake <- struct{}{}:
	default:
	}
}

// sessionDown is called when the session with a peer is lost or cannot be established.
func (no *Node) sessionDown(instance string, refused bool) {
	no.peerReports.Delete(instance)
	no.post(func(time.Time) { no.pool.RemovePeer(instance) })
	if refused {
		no.refusedInstances.Store(instance, true)
		no.post(func(now time.Time) { no.endAwaitedReleases(now, instance) })
	}
	if refused || no.ownsDomain(instance) {
		no.wakeOwnershipLoop()
	}
}

// ownsDomain reports whether the instance is the known owner of a domain.
func (no *Node) ownsDomain(instance string) bool {
	owns := false
	no.ownerByDomain.Range(func(_, value any) bool {
		owns = value.(ownerRef).ID == instance
		return !owns
	})
	return owns
}

// AwaitIdle waits until the pool has no jobs and no hand-over awaits a reply or the release of workers, or ctx is done.
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
