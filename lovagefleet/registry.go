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
			if len(no.evacuations.current()) > 0 {
				no.evacuations.generation.Add(1) // the owner's load reports may be unwanted
			}
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
	list, err := no.registry.Workers(ctx, no.readWhole.Swap(false))
	if err != nil {
		no.countEvent("registryErrors")
		return
	}
	no.workerList.Store(&list)
	no.workerListReadAt.Store(&began)
	no.post(func(now time.Time) {
		no.registryReadAt = began
		no.refreshWorkers(now)
		no.awaitEntries(now)
	})
}

// entryReads plans reads of the registered workers, besides those at intervals, while workers answer whose processes have no entry among
// those read: a worker that has restarted gets no starts until its new entry is read. One read serves all that have restarted.
type entryReads struct {
	next    time.Time     // of the next read; zero: none is planned
	last    time.Time     // when the last one was asked for
	pause   time.Duration // until the read after the next one, if that lacks an entry too
	missing int           // reads that lacked an entry since the last restart
	credit  time.Time     // entryReadInterval for each read; reads may be maxEntryReads ahead of it
	wholeAt time.Time     // when all entries were last asked for
}

const (
	// minEntryReadPause is the least pause between two planned reads. Each that lacks an entry doubles the pause, up to
	// registryInterval, from where on the reads at intervals do. A read of the changes takes 4 to 10 ms.
	minEntryReadPause = 20 * time.Millisecond
	// maxEntryReads may be planned at once, and then one in each entryReadInterval, however many workers restart one after the other.
	maxEntryReads     = 8
	entryReadInterval = 100 * time.Millisecond
	// lateEntryReadPause replaces minEntryReadPause while this instance is late: a read would make it later.
	lateEntryReadPause = registryInterval / 2
	// After missingBeforeWhole reads of the changes that lack an entry, all entries are read, at most once in wholeReadInterval.
	missingBeforeWhole = 3
	wholeReadInterval  = 10 * time.Second
)

// requestEntries plans a read because a process answers for a worker that has no entry. A read that has begun may be too early.
func (no *Node) requestEntries(now time.Time) {
	no.entryReads.pause, no.entryReads.missing = minEntryReadPause, 0
	no.planEntryRead(now, now)
}

// awaitEntries plans a read if the one that has ended lacks the entry of a worker's process.
func (no *Node) awaitEntries(now time.Time) {
	er := &no.entryReads
	if !no.pool.AwaitsEntries() {
		er.next, er.pause, er.missing = time.Time{}, minEntryReadPause, 0
		return
	}
	er.missing++
	if er.pause = max(er.pause, minEntryReadPause); er.pause < registryInterval {
		no.planEntryRead(now, now.Add(er.pause))
		er.pause *= 2
	}
}

// planEntryRead plans a read at the given time, or later where reads are too frequent.
func (no *Node) planEntryRead(now, at time.Time) {
	er := &no.entryReads
	pause := minEntryReadPause
	if no.patience().overloaded() {
		pause = lateEntryReadPause
	}
	for _, earliest := range []time.Time{er.last.Add(pause), er.credit.Add(-maxEntryReads * entryReadInterval)} {
		if at.Before(earliest) {
			at = earliest
		}
	}
	if !er.next.IsZero() && !at.Before(er.next) {
		return
	}
	er.next = at
	if wait := at.Sub(now); wait > 0 {
		time.AfterFunc(wait, func() { no.post(no.readEntries) })
	} else {
		no.readEntries(now)
	}
}

// readEntries makes the planned read if it is due.
func (no *Node) readEntries(now time.Time) {
	er := &no.entryReads
	if er.next.IsZero() || now.Before(er.next) {
		return // done, or put off
	}
	er.next = time.Time{}
	if !no.pool.AwaitsEntries() {
		return
	}
	er.last = now
	if er.credit.Before(now) {
		er.credit = now
	}
	er.credit = er.credit.Add(entryReadInterval)
	if er.missing >= missingBeforeWhole && now.Sub(er.wholeAt) >= wholeReadInterval {
		er.wholeAt = now
		no.readWhole.Store(true)
	}
	no.countEvent("entryReads")
	no.wakeRegistryLoop()
}

// configLoop fetches new configurations and requests for evacuation from the registry. An older version never replaces a newer one.
func (no *Node) configLoop(ctx context.Context) {
	for ctx.Err() == nil {
		after := int64(0)
		if co := no.config.Load(); co != nil {
			after = co.Version
		}
		callCtx, cancel := context.WithTimeout(ctx, configPollWait+storeTimeout)
		began := time.Now()
		or, err := no.registry.OperatorRows(callCtx, after, configPollWait)
		cancel()
		no.noteOperatorRows(began, or)
		if err != nil {
			no.countEvent("configurationErrors")
		}
		if err != nil || after == 0 && or.Configuration == nil {
			sleep(ctx, configRetryDelay)
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

// updateServices passes the queues' services to the pool if there is a newer configuration. Only loop calls it.
func (no *Node) updateServices(now time.Time) {
	if co := no.config.Load(); co != nil && co.Version > no.poolConfigVersion {
		no.poolConfigVersion = co.Version
		no.pool.SetServices(now, co.Version, co.Services())
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
