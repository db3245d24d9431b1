package lovagedispatch

import "slices"

// Teams share capacity by weighted fair queueing: each start advances the team's virtual time by the expected run time
// divided by the team's weight, and the team with the least virtual time is next.
type team struct {
	spec         Team
	configured   bool
	seq          uint64 // order among teams of equal virtual time
	virtualTime  float64
	runningTasks int
	queuedTasks  int
	teamQueues   []*teamQueue // queues with jobs, one per class
	failureRate  failureRate
}

func (tm *team) weight() float64 {
	if tm.spec.Weight > 0 {
		return tm.spec.Weight
	}
	return 1
}

func (tm *team) atLimit() bool {
	return tm.spec.MaxRunning > 0 && tm.runningTasks >= tm.spec.MaxRunning
}

func (co *Core) teamFor(name string) *team {
	tm := co.teams[name]
	if tm == nil {
		co.teamSeq++
		tm = &team{spec: Team{Name: name}, seq: co.teamSeq, failureRate: priorFailureRate}
		co.teams[name] = tm
	}
	return tm
}

// forgetTeam drops the record of an idle team that is not configured. Callers may name any team, so the records would
// otherwise accumulate.
func (co *Core) forgetTeam(tm *team) {
	if !tm.configured && tm.runningTasks == 0 && tm.queuedTasks == 0 {
		delete(co.teams, tm.spec.Name)
	}
}

func (co *Core) teamsChanged(ev TeamsChanged) {
	names := make(map[string]bool, len(ev.Teams))
	for _, sp := range ev.Teams {
		names[sp.Name] = true
		tm := co.teamFor(sp.Name)
		co.configureTeam(tm, sp, true)
	}
	removedNames := make([]string, 0, len(co.teams))
	for name, tm := range co.teams {
		if tm.configured && !names[name] {
			removedNames = append(removedNames, name)
		}
	}
	slices.Sort(removedNames)
	for _, name := range removedNames {
		tm := co.teams[name]
		co.configureTeam(tm, Team{Name: name}, false)
		co.forgetTeam(tm)
	}
}

func (co *Core) configureTeam(tm *team, sp Team, configured bool) {
	if len(tm.teamQueues) > 0 {
		co.activeWeight -= tm.weight()
	}
	tm.spec, tm.configured = sp, configured
	if len(tm.teamQueues) > 0 {
		co.activeWeight += tm.weight()
	}
	co.updateEligibility(tm)
}

// updateEligibility removes the queues of a team at its limit from the classes, or puts them back. It takes O(log n)
// for each class in which the team has queued jobs.
func (co *Core) updateEligibility(tm *team) {
	for _, tq := range tm.teamQueues {
		switch {
		case tm.atLimit() && tq.heapIndex >= 0:
			tq.class.teamQueues.remove(tq.heapIndex)
			tq.class.readyTasks -= tq.queuedTasks
		case !tm.atLimit() && tq.heapIndex < 0:
			tq.class.teamQueues.push(tm.virtualTime, tm.seq, tq)
			tq.class.readyTasks += tq.queuedTasks
		}
	}
}

// chargeStart counts a start for the job's team and advances the team's virtual time.
func (co *Core) chargeStart(jo *job, runTime float64) {
	tm := jo.team
	co.virtualTime = max(co.virtualTime, tm.virtualTime)
	tm.virtualTime += runTime / tm.weight()
	tm.runningTasks++
	if tm.atLimit() {
		co.updateEligibility(tm)
		return
	}
	for _, tq := range tm.teamQueues {
		tq.class.teamQueues.setKey(tq.heapIndex, tm.virtualTime)
	}
}

func (co *Core) teamTaskEnded(tm *team) {
	wasAtLimit := tm.atLimit()
	tm.runningTasks--
	if wasAtLimit && !tm.atLimit() {
		co.updateEligibility(tm)
	}
}
