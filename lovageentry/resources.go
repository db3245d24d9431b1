package lovageentry

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"lovagestack/lovagedispatch"
	"lovagestack/lovagedomain"
	"lovagestack/lovageledger"
	"lovagestack/lovagemember"
	"lovagestack/lovageresource"
)

// declaredWorker holds what the control loop needs to send a task to a worker.
type declaredWorker struct {
	address        string
	maxConnections int // maximum number of connections that the worker accepts from all instances
	services       []string
	declared       lovagedispatch.Worker
}

func (dw declaredWorker) runsService(service string) bool {
	return slices.Contains(dw.services, service)
}

// resourceWatcher sends the applied resources to the control loop after each change.
type resourceWatcher struct {
	in *Instance
}

// Serve runs until ctx ends.
func (rw *resourceWatcher) Serve(ctx context.Context) error {
	postedRevision := int64(-1)
	for {
		changed := rw.in.store.Changed()
		if revision := rw.in.store.Revision(); revision != postedRevision {
			if !rw.in.control.post(ctx, rw.load()) {
				return ctx.Err()
			}
			postedRevision = revision
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// appliedRevision is the revision of the resources that the control loop uses. It is safe for concurrent use.
type appliedRevision struct {
	mu       sync.Mutex
	revision int64
	advanced chan struct{} // closed at the next advance
}

func newAppliedRevision() *appliedRevision {
	return &appliedRevision{revision: -1, advanced: make(chan struct{})}
}

func (ar *appliedRevision) advance(revision int64) {
	ar.mu.Lock()
	defer ar.mu.Unlock()
	ar.revision = revision
	close(ar.advanced)
	ar.advanced = make(chan struct{})
}

// maxApplyWait bounds how long a submission waits for the control loop to apply a change. Applying takes some 20 ms for the
// largest planned fleet.
const maxApplyWait = time.Second

// await waits until the control loop uses the given revision or a later one, at most for maxApplyWait.
func (ar *appliedRevision) await(ctx context.Context, revision int64) {
	ctx, cancel := context.WithTimeout(ctx, maxApplyWait)
	defer cancel()
	for ctx.Err() == nil {
		ar.mu.Lock()
		reached, advanced := ar.revision >= revision, ar.advanced
		ar.mu.Unlock()
		if reached {
			return
		}
		select {
		case <-advanced:
		case <-ctx.Done():
		}
	}
}

// load reads all resources. A change between two reads is harmless, because another load follows.
func (rw *resourceWatcher) load() *resourcesLoaded {
	rl := &resourcesLoaded{
		workers: make(map[string]declaredWorker), revision: rw.in.store.Revision(), tunables: rw.in.store.Configuration(),
	}
	pools, _ := rw.in.store.List(lovageresource.KindPool)
	poolsByService := make(map[string][]string)
	for i := range pools {
		rl.addPool(&pools[i], poolsByService)
	}
	rl.computeDomains(rw.in.settings.DataCentre)
	services, _ := rw.in.store.List(lovageresource.KindService)
	for i := range services {
		sp, ok := services[i].Spec.(lovageresource.Service)
		if !ok || len(poolsByService[services[i].Name]) == 0 {
			continue // a service without a pool cannot run anywhere
		}
		rl.services = append(rl.services, lovagedispatch.Service{
			Name: services[i].Name, Pools: poolsByService[services[i].Name],
			MaxQueuedTasks: sp.QueuedTasks, RetryRatio: retryRatio(sp.RetryBudget),
		})
		rl.serviceRunLimits = append(rl.serviceRunLimits, serviceRunLimit{
			name: services[i].Name, maxRunTime: time.Duration(sp.MaxRunTime),
		})
	}
	teams, _ := rw.in.store.List(lovageresource.KindTeam)
	for i := range teams {
		if sp, ok := teams[i].Spec.(lovageresource.Team); ok {
			rl.teams = append(rl.teams, lovagedispatch.Team{
				Name: teams[i].Name, Weight: sp.Weight, MaxRunning: sp.RunningTasks, MaxQueuedTasks: sp.QueuedTasks,
			})
		}
	}
	return rl
}

// minRetryRatio replaces a declared retry budget of 0, because to the dispatch core 0 means "not set".
const minRetryRatio = 1e-9

func retryRatio(budget float64) float64 { return max(budget, minRetryRatio) }

// serviceRunLimit is the declared maximum run time of a service's tasks. 0 means no maximum.
type serviceRunLimit struct {
	name       string
	maxRunTime time.Duration
}

type resourcesLoaded struct {
	revision         int64
	workers          map[string]declaredWorker
	services         []lovagedispatch.Service
	teams            []lovagedispatch.Team
	tunables         lovageresource.Configuration
	serviceRunLimits []serviceRunLimit
	pools            []lovagedomain.Pool
	layout           *lovagedomain.Layout
	workerSizes      []map[string][]workerSize // distinct sizes of the workers by domain index and service
	localRegions     map[string]bool
}

// computeDomains divides the workers into decision domains. It takes 14 ms for 15,000 workers, so it runs outside the
// control loop.
func (rl *resourcesLoaded) computeDomains(dataCentre string) {
	rl.layout = lovagedomain.Divide(rl.pools, rl.tunables.DomainSlots)
	rl.workerSizes = make([]map[string][]workerSize, len(rl.layout.Domains))
	for i := range rl.layout.Domains {
		sizes := make(map[string][]workerSize)
		for _, id := range rl.layout.Domains[i].Workers {
			dw := rl.workers[id]
			size := sizeOfWorker(&dw.declared)
			for _, service := range dw.services {
				if !slices.Contains(sizes[service], size) {
					sizes[service] = append(sizes[service], size)
				}
			}
		}
		rl.workerSizes[i] = sizes
	}
	rl.localRegions = make(map[string]bool)
	for _, po := range rl.pools {
		if po.DataCentre == dataCentre {
			rl.localRegions[po.Region] = true
		}
	}
}

func (rl *resourcesLoaded) addPool(re *lovageresource.Resource, poolsByService map[string][]string) {
	sp, ok := re.Spec.(lovageresource.Pool)
	if !ok {
		return
	}
	for _, name := range sp.Services {
		poolsByService[name] = append(poolsByService[name], re.Name)
	}
	po := lovagedomain.Pool{Name: re.Name, DataCentre: sp.DataCentre, Region: sp.Region, Services: sp.Services}
	defer func() { rl.pools = append(rl.pools, po) }()
	for _, wo := range sp.Workers {
		po.Workers = append(po.Workers, lovagedomain.Worker{ID: wo.ID, Slots: wo.Slots})
		rl.workers[wo.ID] = declaredWorker{
			address: wo.Address.String(), maxConnections: wo.Connections, services: sp.Services,
			declared: lovagedispatch.Worker{
				ID: wo.ID, DataCentre: sp.DataCentre, Pool: re.Name, Slots: wo.Slots, Cores: wo.Cores,
				MemoryBytes: wo.MemoryBytes, Accelerators: wo.Accelerators,
			},
		}
	}
}

func (rl *resourcesLoaded) apply(lo *controlLoop) {
	lo.in.reportStep(StepApply)
	defer lo.in.applied.advance(rl.revision)
	lo.log.Info("configuration applied", zap.Int64("revision", rl.revision), zap.Int("workers", len(rl.workers)),
		zap.Int("services", len(rl.services)), zap.Int("teams", len(rl.teams)))
	lo.workers = rl.workers
	lo.serviceRunLimits = make(map[string]serviceRunLimit, len(rl.serviceRunLimits))
	for _, sl := range rl.serviceRunLimits {
		lo.serviceRunLimits[sl.name] = sl
	}
	declared := make([]lovagemember.DeclaredWorker, 0, len(rl.workers))
	for id, dw := range rl.workers {
		declared = append(declared, lovagemember.DeclaredWorker{
			Worker: id, DataCentre: dw.declared.DataCentre, Address: dw.address,
		})
	}
	lo.teams, lo.localRegions = rl.teams, rl.localRegions
	lo.replaceLayout(rl)
	lo.updateTunables(&rl.tunables)
	lo.stepCore(lovagedispatch.ServicesChanged{Services: rl.services})
	lo.updateTeams()
	lo.stepMember(lovagemember.PoolsChanged{Workers: declared})
	lo.updateWorkers()
}

// updateTunables passes the settings in a Configuration resource to the ledger and the dispatch core.
func (lo *controlLoop) updateTunables(sp *lovageresource.Configuration) {
	lo.stepLedger(&lovageledger.TunablesChanged{
		KeyLifetime: time.Duration(sp.KeyLifetime), AnswerRetention: time.Duration(sp.AnswerRetention),
	})
	lo.stepCore(lovagedispatch.TunablesChanged{
		MaxQueuedTasks:  sp.Admission.QueuedTasks,
		EjectionBackOff: time.Duration(sp.Ejection.BackOff), MaxEjectionBackOff: time.Duration(sp.Ejection.MaxBackOff),
	})
}

// updateTeams gives the dispatch core this instance's share of the teams' quotas.
func (lo *controlLoop) updateTeams() {
	teams := slices.Clone(lo.teams)
	for i := range teams {
		teams[i].MaxRunning = lo.quotaShare(teams[i].MaxRunning)
	}
	lo.stepCore(lovagedispatch.TeamsChanged{Teams: teams})
}

// workersChanged records the leaving workers. A worker whose mark is gone has registered anew. The dispatch core forgets
// the mark only when it gets a set of workers without it.
func (lo *controlLoop) workersChanged(cm lovagemember.WorkersChanged) {
	marked := lo.leavingWorkers
	lo.leavingWorkers = make(map[string]bool)
	for _, wo := range cm.Workers {
		if wo.State == lovagemember.Leaving {
			lo.leavingWorkers[wo.Worker] = true
		}
	}
	hasRegisteredAnew := func(wo lovagedispatch.Worker) bool { return marked[wo.ID] && !lo.leavingWorkers[wo.ID] }
	if usable := lo.usableWorkers(); slices.ContainsFunc(usable, hasRegisteredAnew) {
		lo.stepCore(lovagedispatch.WorkersChanged{Workers: slices.DeleteFunc(usable, hasRegisteredAnew)})
	}
	lo.updateWorkers()
}

// updateWorkers passes the usable workers to the dispatch core.
func (lo *controlLoop) updateWorkers() {
	lo.stepCore(lovagedispatch.WorkersChanged{Workers: lo.usableWorkers()})
}
