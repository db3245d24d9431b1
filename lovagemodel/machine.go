package lovagemodel

import (
	"slices"
	"strings"
	"time"

	"lovagestack/lovagejob"
	"lovagestack/lovagepool"
)

// machine is a worker that starts whatever it is told.
type machine struct {
	lovagepool.Worker
	pl    *play
	owner *owner
	speed float64
	born  int64
	runs  []*activeRun
	ends  []lovagepool.EndedRun // not yet fetched
	dead  map[string]int        // highest number stopped or ended, by task
	trial Fault                 // present trouble
	until time.Time
}

type activeRun struct {
	task    string
	attempt int
	room    lovagejob.Resources
	expires time.Time
	ended   bool
}

func (ma *machine) in(kind FaultKind) bool {
	return ma.trial.Kind == kind && ma.pl.now.Before(ma.until)
}

// order carries a start to the worker and its reply back.
func (ma *machine) order(cm lovagepool.StartRun) {
	pl, born := ma.pl, ma.born
	expires := pl.now.Add(pl.lo.Settings.Lease)
	if ma.in(FaultLate) && pl.rng.Float64() < 0.3 {
		pl.after(2*time.Second+time.Duration(pl.rng.Float64()*float64(4*time.Second)), func() { ma.begin(cm, expires, born) })
		pl.after(orderTime, func() { ma.unanswered(cm) })
		return
	}
	pl.after(callTime, func() {
		switch {
		case ma.in(FaultSilent):
			pl.after(orderTime, func() { ma.unanswered(cm) })
		case ma.in(FaultCrash):
			pl.after(callTime, func() { ma.reply(cm, true) })
		default:
			rejected := !ma.begin(cm, expires, born)
			pl.after(callTime, func() { ma.reply(cm, rejected) })
		}
	})
}

func (ma *machine) unanswered(cm lovagepool.StartRun) {
	ma.owner.pool.HandleStartTimeout(ma.pl.now, ma.ID, cm.Task, cm.Attempt)
	ma.owner.carryOut()
}

func (ma *machine) reply(cm lovagepool.StartRun, rejected bool) {
	ma.owner.pool.HandleStartReply(ma.pl.now, ma.ID, cm.Task, cm.Attempt, rejected, "rejected")
	ma.owner.carryOut()
}

// begin starts a run unless the order is out of date.
func (ma *machine) begin(cm lovagepool.StartRun, expires time.Time, born int64) bool {
	pl := ma.pl
	if ma.born != born || !pl.now.Before(expires) || cm.Attempt <= ma.dead[cm.Task] {
		return false
	}
	for _, ru := range ma.runs {
		if ru.task == cm.Task {
			return ru.attempt == cm.Attempt
		}
	}
	id, _, _ := strings.Cut(cm.Task, ".")
	jr := pl.jobs[id]
	room := jr.work.Steps[0].Resources
	used := room
	for _, ru := range ma.runs {
		used = used.Plus(ru.room)
	}
	if !used.Fits(ma.Capacity) {
		pl.res.violate("%s is filled to %+v of %+v", ma.ID, used, ma.Capacity)
	}
	if pl.running[cm.Task]++; pl.running[cm.Task] > 1 {
		pl.res.violate("task %s runs %d times at once", cm.Task, pl.running[cm.Task])
	}
	jr.begun = true
	ru := &activeRun{task: cm.Task, attempt: cm.Attempt, room: room, expires: expires}
	ma.runs = append(ma.runs, ru)
	took := time.Duration(float64(jr.truth) * spread(pl.rng, unevenSpread) / ma.speed)
	how := lovagepool.RunDone
	switch {
	case ma.in(FaultErrors):
		took, how = took/10, lovagepool.RunFailed
	case ma.in(FaultHang):
		took = time.Hour
	case ma.in(FaultSlow):
		took *= slowFactor
	case pl.rng.Float64() < failShare:
		how = lovagepool.RunFailed
	}
	pl.after(took, func() { ma.end(ru, how) })
	ma.checkLease(ru)
	return true
}

// checkLease kills a run whose lease has ended.
func (ma *machine) checkLease(ru *activeRun) {
	ma.pl.at(ru.expires, func() {
		switch {
		case ru.ended:
		case ma.pl.now.Before(ru.expires):
			ma.checkLease(ru)
		default:
			ma.end(ru, lovagepool.RunLapsed)
		}
	})
}

func (ma *machine) end(ru *activeRun, how lovagepool.RunOutcome) {
	if ru.ended {
		return
	}
	ru.ended = true
	ma.pl.running[ru.task]--
	ma.runs = slices.DeleteFunc(ma.runs, func(ot *activeRun) bool { return ot == ru })
	ma.bury(ru.task, ru.attempt)
	ma.ends = append(ma.ends, lovagepool.EndedRun{Task: ru.task, Attempt: ru.attempt, Outcome: how})
	if !ma.in(FaultSilent) {
		ma.pl.after(callTime, ma.report)
	}
}

func (ma *machine) bury(task string, attempt int) {
	if ma.dead == nil {
		ma.dead = map[string]int{}
	}
	ma.dead[task] = max(ma.dead[task], attempt)
}

func (ma *machine) stopOrder(cm lovagepool.StopRun) {
	pl := ma.pl
	pl.after(callTime, func() {
		if ma.in(FaultSilent) || ma.in(FaultCrash) {
			return
		}
		ma.bury(cm.Task, cm.Attempt)
		for _, ru := range ma.runs {
			if ru.task == cm.Task && ru.attempt == cm.Attempt {
				pl.after(pl.lo.Settings.StopGrace, func() { ma.end(ru, lovagepool.RunStopped) })
			}
		}
		pl.after(callTime, func() {
			ma.owner.pool.HandleStopReply(pl.now, ma.ID, cm.Task, cm.Attempt)
			ma.owner.carryOut()
		})
	})
}

// look extends leases and reports now and then.
func (ma *machine) look() {
	pl := ma.pl
	switch {
	case ma.in(FaultSilent):
		pl.after(silentLook, func() {
			ma.owner.pool.MarkUnreachable(pl.now, ma.ID)
			ma.owner.carryOut()
			ma.look()
		})
		return
	case ma.in(FaultCrash):
		ma.owner.pool.MarkUnreachable(pl.now, ma.ID)
	default:
		ma.owner.pool.HandleLeaseExtension(pl.now, ma.ID)
		for _, ru := range ma.runs {
			ru.expires = pl.now.Add(pl.lo.Settings.Lease)
		}
		ma.report()
	}
	pl.after(lookTime, ma.look)
}

// report lists what runs and what has ended.
func (ma *machine) report() {
	if ma.in(FaultSilent) || ma.in(FaultCrash) {
		return
	}
	var active []lovagepool.ActiveRun
	for _, ru := range ma.runs {
		active = append(active, lovagepool.ActiveRun{Task: ru.task, Attempt: ru.attempt})
	}
	ends := ma.ends
	ma.ends = nil
	ma.owner.pool.HandleRunList(ma.pl.now, ma.pl.now.Add(-callTime), ma.ID, active, ends)
	ma.owner.carryOut()
}

// strike begins a fault at a share of the workers.
func (pl *play) strike(fa Fault) {
	for i, ow := range pl.owners {
		if fa.FirstOwnerOnly && i > 0 {
			break
		}
		for _, ma := range ow.list {
			if pl.rng.Float64() >= fa.Share || pl.now.Before(ma.until) {
				continue
			}
			ma.trial, ma.until = fa, pl.now.Add(fa.Duration)
			if fa.Kind == FaultCrash {
				ma.crash()
			}
		}
	}
}

// crash loses all runs without an end; the process that comes back knows nothing.
func (ma *machine) crash() {
	for _, ru := range ma.runs {
		ru.ended = true
		ma.pl.running[ru.task]--
	}
	ma.runs, ma.ends, ma.dead = nil, nil, nil
	ma.born++
	ma.pl.at(ma.until, ma.owner.setWorkers)
}
