package lovagefleet

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// updateOwner records the owner of a domain, unless a known owner has the same or a higher fence.
func (no *Node) updateOwner(name string, ow ownerRef) {
	for {
		old, loaded := no.ownerByDomain.LoadOrStore(name, ow)
		if loaded && old.(ownerRef).fence >= ow.fence {
			return
		}
		if !loaded || no.ownerByDomain.CompareAndSwap(name, old, ow) {
			no.passOnCancelledJobs(ow)
			return
		}
	}
}

// registeredWorkers returns the workers as last read from the registry.
func (no *Node) registeredWorkers() []RegisteredWorker {
	if list := no.workerList.Load(); list != nil {
		return *list
	}
	return nil
}

// registryLoop reads the registered workers at intervals while this instance owns workers, and when it is woken.
func (no *Node) registryLoop(ctx context.Context) {
	ticker := time.NewTicker(registryInterval)
	defer ticker.Stop()
	woken := false
	for {
		if woken || no.ownsWorkers.Load() {
			no.readRegistry(ctx)
		}
		woken = false
		select {
		case <-ctx.Done():
			return
		case <-no.registryWake:
			woken = true // the event that woke this loop may not have set ownsWorkers yet
		case <-ticker.C:
		}
	}
}

// readRegistry reads the registered workers, and has loop use those of the owned domains.
func (no *Node) readRegistry(ctx context.Context) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	list, err := no.registry.Workers(ctx)
	if err != nil {
		no.countEvent("registryErrors")
		return
	}
	no.workerList.Store(&list)
	no.workerListReadAt.Store(&began)
	no.post(func(now time.Time) {
		no.registryReadAt = began
		no.refreshWorkers(now)
	})
}

// configLoop fetches new configurations from the registry. An older version never replaces a newer one.
func (no *Node) configLoop(ctx context.Context) {
	for ctx.Err() == nil {
		after := int64(0)
		if co := no.config.Load(); co != nil {
			after = co.Version
		}
		callCtx, cancel := context.WithTimeout(ctx, configPollWait+storeTimeout)
		co, err := no.registry.Configuration(callCtx, after, configPollWait)
		cancel()
		switch {
		case err != nil:
			no.countEvent("configurationErrors")
			sleep(ctx, configRetryDelay)
		case co != nil:
			no.applyConfiguration(co)
		}
	}
}

const (
	// configPollWait is how long the platform may delay its reply while there is no newer configuration. A configuration must be
	// in force 2 s after the platform accepted it.
	configPollWait = time.Second
	// configRetryDelay is the pause after a failed request for the configuration.
	configRetryDelay = 200 * time.Millisecond
)

func (no *Node) applyConfiguration(co *Configuration) {
	for {
		old := no.config.Load()
		if old != nil && old.Version >= co.Version {
			return
		}
		if no.config.CompareAndSwap(old, co) {
			no.log.Info("configuration in force", zap.Int64("version", co.Version), zap.Int("routes", len(co.Routes)))
			return
		}
	}
}

func sleep(ctx context.Context, du time.Duration) {
	timer := time.NewTimer(du)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
