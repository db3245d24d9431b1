package lovagefleet

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// updateOwner keeps the owner with the highest fence of a domain.
func (no *Node) updateOwner(name string, ow ownerRef) {
	for {
		old, loaded := no.owners.LoadOrStore(name, ow)
		if !loaded || old.(ownerRef).fence >= ow.fence {
			return
		}
		if no.owners.CompareAndSwap(name, old, ow) {
			return
		}
	}
}

// registered returns the workers that were last read from the registry.
func (no *Node) registeredWorkers() []RegisteredWorker {
	if list := no.workerList.Load(); list != nil {
		return *list
	}
	return nil
}

// registryLoop follows the registered workers.
func (no *Node) registryLoop(ctx context.Context) {
	ticker := time.NewTicker(registryInterval)
	defer ticker.Stop()
	var read time.Time
	woken := false
	for {
		if woken || no.ownsWorkers.Load() || time.Since(read) >= idleRegistryInterval {
			read = time.Now()
			no.readRegistry(ctx)
		}
		woken = false
		select {
		case <-ctx.Done():
			return
		case <-no.registryWake:
			woken = true // whoever wakes this loop may not be noted as an owner yet
		case <-ticker.C:
		}
	}
}

// readRegistry reads the registered workers and uses those of owned domains.
func (no *Node) readRegistry(ctx context.Context) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	list, err := no.registry.Workers(ctx)
	if err != nil {
		no.count("registryErrors")
		return
	}
	no.workerList.Store(&list)
	no.post(func(now time.Time) {
		no.registryReadAt = began
		no.refreshWorkers(now)
	})
}

// configLoop follows the configuration. Versions never go back.
func (no *Node) configLoop(ctx context.Context) {
	for ctx.Err() == nil {
		after := int64(0)
		if co := no.config.Load(); co != nil {
			after = co.Version
		}
		callCtx, cancel := context.WithTimeout(ctx, configWait+storeTimeout)
		co, err := no.registry.Configuration(callCtx, after, configWait)
		cancel()
		switch {
		case err != nil:
			no.count("configurationErrors")
			sleep(ctx, configRetry)
		case co != nil:
			no.applyConfiguration(co)
		}
	}
}

const (
	// configWait is how long the platform may hold a request for a newer configuration, which must be in force 2 s after
	// it was accepted.
	configWait = time.Second
	// configRetry is the pause after a failed request.
	configRetry = 200 * time.Millisecond
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
