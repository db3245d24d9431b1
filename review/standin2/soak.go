package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the soak.
const (
	soakTime      = 70 * time.Second
	soakClients   = 24
	retransmit    = 1300 * time.Millisecond // retransmit_ms
	soakDeadline  = 2500 * time.Millisecond
	soakAttempts  = 3
	minFaultPause = 300 * time.Millisecond
	lossSlack     = 200 * time.Millisecond // loss_slack_ms
)

// soakJob is a job with what its client has seen.
type soakJob struct {
	id       string
	prefix   string
	steps    []soakStep
	mu       sync.Mutex
	sent     []time.Time
	statuses []int // 0: no answer
	state    string
	answered time.Time // when it was answered with success
	cancelAt time.Time // when its cancelling was acknowledged
	cut      []answer  // channels that ended without an answer before the client left
}

type soakStep struct {
	step
	Constraint string `json:"constraints,omitempty"`
	actual     time.Duration
}

// soak has clients send jobs of several steps while processes, workers and the store are disturbed at random, and then checks the rules
// that hold for the runs of jobs that need no storing.
type soak struct {
	ru   *run
	be   *bed
	mu   sync.Mutex
	jobs map[string]*soakJob
	rnd  *rand.Rand
	long int // factor on run times, time budgets and pauses of processes
	// planned leaves only planned work: processes are stopped and started, get SIGHUP, and the configuration changes. LOST is checked then.
	planned bool
}

func playSoak(ru *run) error {
	seed, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	if err != nil {
		seed = rand.Uint64()
	}
	ru.re.add("seed %d", seed)
	so := &soak{ru: ru, jobs: map[string]*soakJob{}, rnd: rand.New(rand.NewPCG(seed, 1)), long: 1, planned: os.Getenv("PLANNED") == "1"}
	if n, err := strconv.Atoi(os.Getenv("LONG")); err == nil {
		so.long = n
	}
	zones := []string{"kandla", "navlakhi"}
	be, err := newBed(ru, zones...)
	if err != nil {
		return err
	}
	so.be = be
	defer be.close(ru.keep)
	be.configure(1, service, queue("gate-confirm", "/gate/"), queue("girth-check", "/girth/"))
	for i := range 6 {
		if err := be.addWorker(fmt.Sprintf("w-%d", i+1), zones[i%2], service, so.runTime); err != nil {
			return err
		}
	}
	for i := range 4 {
		if _, err := be.startInstance(fmt.Sprintf("edge-%d", i+1), zones[i%2]); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ru.ctx, startTimeout)
	defer cancel()
	if err := be.awaitService(ctx, host, "/gate/"); err != nil {
		return err
	}
	until := time.Now().Add(soakTime)
	var clients sync.WaitGroup
	for i := range soakClients {
		clients.Go(func() { so.client(i, until) })
	}
	if ru.trouble {
		so.disturb(until)
	}
	clients.Wait()
	time.Sleep(3 * time.Second)
	return so.check()
}

func (so *soak) intN(n int) int {
	so.mu.Lock()
	defer so.mu.Unlock()
	return so.rnd.IntN(n)
}

func (so *soak) job(id string) *soakJob {
	so.mu.Lock()
	defer so.mu.Unlock()
	return so.jobs[id]
}

// parts returns the job's ID, step and index of a task's name.
func parts(task string) (id string, stepNo, index int) {
	fields := strings.Split(task, ".")
	if len(fields) != 4 {
		return "", 0, 0
	}
	stepNo, _ = strconv.Atoi(fields[2])
	index, _ = strconv.Atoi(fields[3])
	return fields[0], stepNo, index
}

func (so *soak) runTime(task string) time.Duration {
	id, no, _ := parts(task)
	if jo := so.job(id); jo != nil {
		return jo.steps[no].actual
	}
	return shortRuns(task)
}

func (so *soak) newJob() *soakJob {
	jo := &soakJob{id: newID(), prefix: []string{"/gate/", "/girth/"}[so.intN(2)]}
	for i := range 1 + so.intN(4) {
		est := so.long * (20 + so.intN(300))
		st := soakStep{step: step{Count: 1 + so.intN(6), CPU: 1000 + 1000*so.intN(12), MemoryMB: 64, RunTime: est}}
		st.actual = time.Duration(est*(60+so.intN(80))/100) * time.Millisecond
		for dep := range i {
			if so.intN(2) == 0 {
				st.DependsOn = append(st.DependsOn, dep)
			}
		}
		switch so.intN(6) {
		case 0:
			st.AntiAffinity = 1 + so.intN(2)
			st.Count = min(st.Count, 3)
		case 1:
			st.Constraint = []string{"a", "b"}[so.intN(2)]
		}
		jo.steps = append(jo.steps, st)
	}
	so.mu.Lock()
	so.jobs[jo.id] = jo
	so.mu.Unlock()
	return jo
}

func (so *soak) client(no int, until time.Time) {
	cl := &client{re: so.ru.re, name: fmt.Sprintf("client %d", no)}
	if so.planned {
		cl.keep = &http.Client{Transport: &http.Transport{}}
	}
	for time.Now().Before(until) {
		jo := so.newJob()
		leaves, cancels := so.intN(8) == 0, so.intN(8) == 0
		for range soakAttempts {
			in := so.be.instances[so.intN(len(so.be.instances))]
			timeout := time.Duration(so.long) * soakDeadline
			if leaves {
				timeout = time.Duration(50+so.intN(600)) * time.Millisecond
			}
			if cancels {
				cancels = false
				time.AfterFunc(time.Duration(so.intN(500))*time.Millisecond, func() { so.cancel(cl, jo) })
			}
			jo.mu.Lock()
			jo.sent = append(jo.sent, time.Now())
			jo.mu.Unlock()
			an := cl.submitJob(in, host, jo.prefix+jo.id, timeout, time.Duration(so.long)*soakDeadline, jo.steps)
			jo.mu.Lock()
			jo.statuses = append(jo.statuses, an.status)
			if an.err != nil && !errors.Is(an.err, context.DeadlineExceeded) && !errors.Is(an.err, syscall.ECONNREFUSED) {
				jo.cut = append(jo.cut, an)
			}
			if an.answered() && an.status == http.StatusOK {
				jo.state, jo.answered = an.body, an.at
			}
			cancelled := !jo.cancelAt.IsZero()
			jo.mu.Unlock()
			if an.answered() && an.status != http.StatusGatewayTimeout && an.status != http.StatusBadGateway || cancelled {
				break
			}
			time.Sleep(retransmit)
		}
		time.Sleep(time.Duration(so.intN(400)) * time.Millisecond)
	}
}

func (so *soak) cancel(cl *client, jo *soakJob) {
	for range 8 {
		in := so.be.instances[so.intN(len(so.be.instances))]
		an := cl.call(in, http.MethodDelete, host, jo.prefix+jo.id, 2*time.Second, nil)
		if an.answered() && (an.status == http.StatusOK || an.status == http.StatusGone) {
			jo.mu.Lock()
			jo.cancelAt = an.at
			jo.mu.Unlock()
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// disturb makes one disruption after the other.
func (so *soak) disturb(until time.Time) {
	version := 1
	var pending sync.WaitGroup
	defer pending.Wait()
	busy := map[string]bool{} // instances, workers or the store
	var mu sync.Mutex
	claim := func(name string) bool {
		mu.Lock()
		defer mu.Unlock()
		if busy[name] {
			return false
		}
		busy[name] = true
		return true
	}
	release := func(name string) {
		mu.Lock()
		defer mu.Unlock()
		delete(busy, name)
	}
	for time.Now().Before(until) {
		time.Sleep(minFaultPause + time.Duration(so.intN(1200))*time.Millisecond)
		in := so.be.instances[so.intN(len(so.be.instances))]
		wo := so.be.workers[so.intN(len(so.be.workers))]
		length := time.Duration(100+so.intN(2000+500*so.long)) * time.Millisecond
		kind := so.intN(10)
		if so.planned {
			kind = []int{5, 9}[kind%2]
		}
		switch kind {
		case 0, 1, 2:
			if claim(in.node) {
				pending.Go(func() {
					defer release(in.node)
					in.signal(syscall.SIGSTOP)
					time.Sleep(length)
					in.signal(syscall.SIGCONT)
				})
			}
		case 3, 4, 5:
			if claim(in.node) {
				pending.Go(func() {
					defer release(in.node)
					_, exited := in.process()
					in.signal([]syscall.Signal{syscall.SIGKILL, syscall.SIGKILL, syscall.SIGTERM}[kind-3])
					<-exited
					time.Sleep(200 * time.Millisecond)
					_ = so.be.restart(in)
					time.Sleep(time.Second)
				})
			}
		case 6, 7:
			if claim(wo.id) {
				pending.Go(func() {
					defer release(wo.id)
					labels, cores := [][]string{{"a", "r1"}, {"b", "r2"}}[so.intN(2)], 16000+8000*so.intN(3)
					wo.crash()
					time.Sleep(length / 3)
					wo.restart(labels, cores)
				})
			}
		case 8:
			if claim("store") {
				pending.Go(func() {
					defer release("store")
					tr := []storeTrouble{storeBusy, storeSilent, storeSlow}[so.intN(3)]
					so.ru.re.add("store: %s for %s", tr, length)
					so.be.st.setTrouble(tr)
					time.Sleep(length)
					so.be.st.setTrouble(storeSound)
					so.ru.re.add("store: sound")
				})
			}
		case 9:
			version++
			so.be.configure(version, service, queue("gate-confirm", "/gate/"), queue("girth-check", "/girth/"))
			in.signal(syscall.SIGHUP)
		}
	}
}

// check checks the rules by what the workers and the clients have seen.
func (so *soak) check() error {
	var starts []startSeen
	for _, wo := range so.be.workers {
		wo.mu.Lock()
		starts = append(starts, wo.starts...)
		wo.mu.Unlock()
	}
	slices.SortFunc(starts, func(a, b startSeen) int { return a.at.Compare(b.at) })
	byTask, byJob := map[string][]startSeen{}, map[string][]startSeen{}
	for _, ss := range starts {
		id, _, _ := parts(ss.task)
		byTask[ss.task] = append(byTask[ss.task], ss)
		byJob[id] = append(byJob[id], ss)
	}
	var found []string
	add := func(format string, args ...any) {
		text := fmt.Sprintf(format, args...)
		found = append(found, text)
		so.ru.re.add("BROKEN %s", text)
	}
	doneBefore := func(task string, at time.Time) bool {
		return slices.ContainsFunc(byTask[task], func(ss startSeen) bool { return ss.run.how == "done" && !ss.run.ended.After(at) })
	}
	for _, ss := range starts {
		id, no, _ := parts(ss.task)
		jo := so.job(id)
		if jo == nil {
			continue
		}
		st := jo.steps[no]
		cpu, ofStep := 0, map[string]bool{}
		for _, key := range ss.beside {
			other, otherNo, _ := parts(key.task)
			oj := so.job(other)
			if oj == nil {
				cpu += 1000
				continue
			}
			cpu += oj.steps[otherNo].CPU
			if other == id && otherNo == no {
				ofStep[key.task] = true
			}
		}
		if cpu > ss.cores {
			add("LIMIT: %s on %s, %d of %d", ss.task, ss.worker.id, cpu, ss.cores)
		}
		if st.AntiAffinity > 0 && len(ofStep) > st.AntiAffinity {
			add("ROUTE: %s on %s, %d tasks of its step", ss.task, ss.worker.id, len(ofStep))
		}
		if st.Constraint != "" && !slices.Contains(ss.labels, st.Constraint) {
			add("ROUTE: %s on %s, label %s", ss.task, ss.worker.id, st.Constraint)
		}
		for _, dep := range st.DependsOn {
			for k := range jo.steps[dep].Count {
				if name := fmt.Sprintf("%s.0.%d.%d", id, dep, k); !doneBefore(name, ss.at) {
					add("ORDER: %s before %s", ss.task, name)
				}
			}
		}
		if want := "spec of " + jo.prefix + id; ss.run.spec != want {
			add("UNASKED: %s with spec %q", ss.task, ss.run.spec)
		}
		if !jo.cancelAt.IsZero() && ss.at.After(jo.cancelAt.Add(cancelBound)) {
			add("UNASKED: %s %s after the cancelling", ss.task, ss.at.Sub(jo.cancelAt))
		}
	}
	for task, list := range byTask {
		for i, ss := range list {
			for _, later := range list[i+1:] {
				if ss.run.how == "" || ss.run.ended.After(later.at) {
					add("TWICE: %s on %s (attempt %d) and on %s (attempt %d), %s at once", task, ss.worker.id, ss.attempt, later.worker.id, later.attempt,
						ss.run.ended.Sub(later.at))
				}
			}
		}
	}
	counts := map[int]int{}
	for id, jo := range so.jobs {
		for _, status := range jo.statuses {
			counts[status]++
		}
		for _, an := range jo.cut {
			begun := slices.ContainsFunc(byJob[id], func(ss startSeen) bool { return ss.at.After(an.sent) && ss.at.Before(an.at) })
			if so.planned && (begun || an.at.Sub(an.sent) > lossSlack) {
				add("LOST: %s, sent %s before its channel ended, begun %t: %s", id, an.at.Sub(an.sent), begun, an)
			}
		}
		refused := len(jo.statuses) > 0 && !slices.ContainsFunc(jo.statuses, func(st int) bool { return st != 503 && st != 429 })
		if refused && len(byJob[id]) > 0 {
			add("REFUSED: %s has started", id)
		}
		if strings.Contains(jo.state, "completed") {
			for no, st := range jo.steps {
				for k := range st.Count {
					if name := fmt.Sprintf("%s.0.%d.%d", id, no, k); !doneBefore(name, jo.answered) {
						add("MIXED: %s is completed without %s", id, name)
					}
				}
			}
		}
	}
	text := fmt.Sprintf("%d jobs, %d starts, answers %v", len(so.jobs), len(starts), counts)
	for _, status := range slices.Sorted(maps.Keys(counts)) {
		so.ru.re.add("%d answers with status %d", counts[status], status)
	}
	fmt.Println(text)
	if len(found) > 0 {
		return broken("%d times, first: %s", len(found), found[0])
	}
	return nil
}
