package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"lovagestack/lovageapi"
	"lovagestack/lovagefake"
	"lovagestack/lovagehistory"
	"lovagestack/lovagejob"
	"lovagestack/lovageplatform"
	"lovagestack/lovageresource"
	"lovagestack/lovagetrial"
)

// processSeed is the seed of CI; LOVAGE_HISTORY_SEED names another one and LOVAGE_HISTORY_DURATION another duration.
const (
	processSeed     = 1
	processDuration = 26 * time.Second
)

// processEndpoint is an instance's process as the clients of lovagetrial reach it.
type processEndpoint struct {
	de               *deployment
	ip               *instanceProcess
	caller, operator *lovageapi.Client
}

func (pe *processEndpoint) Name() string { return pe.ip.id }

func (pe *processEndpoint) Mint(ctx context.Context, count int, repeatable bool) ([]string, error) {
	mi, err := pe.caller.Mint(ctx, lovagejob.MintRequest{Count: count, Repeatable: repeatable})
	out := make([]string, len(mi.Keys))
	for i, key := range mi.Keys {
		out[i] = key.String()
	}
	return out, err
}

func (pe *processEndpoint) Submit(ctx context.Context, jo lovageapi.JobRequest) (lovageapi.AnswerReply, error) {
	return pe.caller.Submit(ctx, jo)
}

func (pe *processEndpoint) Ask(ctx context.Context, key string, wait time.Duration) (lovageapi.AnswerReply, error) {
	return pe.caller.Ask(ctx, key, wait)
}

func (pe *processEndpoint) Cancel(ctx context.Context, key string) (lovageapi.AnswerReply, error) {
	return pe.caller.Cancel(ctx, key)
}

func (pe *processEndpoint) Put(ctx context.Context, re lovageresource.Resource) (lovageresource.WriteResult, error) {
	return pe.operator.Put(ctx, re)
}

func (pe *processEndpoint) Delete(ctx context.Context, kind lovageresource.Kind, name string, revision int64) (
	lovageresource.WriteResult, error,
) {
	return pe.operator.Delete(ctx, kind, name, revision)
}

func (pe *processEndpoint) List(ctx context.Context) (li lovageapi.ListReply, ready bool, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+pe.ip.operator+"/readyz", nil)
	if err != nil {
		return li, false, err
	}
	res, err := pe.de.client.Do(req)
	if err != nil {
		return li, false, err
	}
	_ = res.Body.Close()
	li, err = pe.operator.List(ctx, "")
	return li, res.StatusCode == http.StatusOK, err
}

// historyRun is a run of concurrent clients against processes.
type historyRun struct {
	de      *deployment
	hi      *lovagetrial.History
	mu      sync.Mutex
	current []*processEndpoint // by the order of the first start
	began   time.Time
	trace   strings.Builder
}

func (hr *historyRun) note(format string, args ...any) {
	hr.mu.Lock()
	defer hr.mu.Unlock()
	fmt.Fprintf(&hr.trace, "%s %s\n", time.Since(hr.began).Round(time.Millisecond), fmt.Sprintf(format, args...))
}

func (hr *historyRun) endpoint(ip *instanceProcess) *processEndpoint {
	pe := &processEndpoint{
		de: hr.de, ip: ip, caller: lovageapi.NewFixedClient(ip.caller), operator: lovageapi.NewClient(ip.operator),
	}
	hr.de.t.Cleanup(pe.caller.Close)
	hr.de.t.Cleanup(pe.operator.Close)
	return pe
}

func (hr *historyRun) endpoints() []lovagetrial.Endpoint {
	hr.mu.Lock()
	defer hr.mu.Unlock()
	out := make([]lovagetrial.Endpoint, len(hr.current))
	for i, pe := range hr.current {
		out[i] = pe
	}
	return out
}

// watchStarts records the workers' starts. The workers tell only how often a task was started so far, so that a start
// is known to lie between two reads.
func (hr *historyRun) watchStarts(ctx context.Context, record func(task string, call int64)) {
	seen := map[string]int{}
	last := time.Now()
	read := func() {
		call := time.Now()
		for _, line := range hr.de.workers {
			id, _, _ := strings.Cut(line, " ")
			status, data, err := hr.de.call(http.MethodGet, hr.de.control+"/control/workers/"+id+"/starts", nil)
			var starts map[string]int
			if err != nil || status != http.StatusOK || json.Unmarshal(data, &starts) != nil {
				hr.de.t.Errorf("read the starts of %s: status %d, %v", id, status, err)
				return
			}
			for task, n := range starts {
				for ; seen[id+" "+task] < n; seen[id+" "+task]++ {
					record(task, last.UnixNano())
				}
			}
		}
		last = call
	}
	for ctx.Err() == nil {
		read()
		select {
		case <-ctx.Done():
		case <-time.After(50 * time.Millisecond):
		}
	}
	read()
}

// Companions of a killed instance: what happens to a second one at the same time.
const (
	companionNone = iota
	companionKilled
	companionStopped
	companions
)

// faults kills and replaces, or pauses past its lease, one instance after the other, while the platform loses replies,
// is down or cannot be reached by one data centre. With some kills a second instance is killed or paused.
func (hr *historyRun) faults(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 0))
	sleep := func(d time.Duration) bool {
		select {
		case <-time.After(d):
			return true
		case <-ctx.Done():
			return false
		}
	}
	for round := rng.IntN(2); sleep(time.Second); round++ {
		n := rng.IntN(len(hr.current))
		pe := hr.current[n] // only this goroutine changes it
		second := (n + 1 + rng.IntN(len(hr.current)-1)) % len(hr.current)
		fa := hr.platformFaults(rng)
		if rng.IntN(3) > 0 {
			hr.note("platform faults %+v", fa)
			hr.de.faults(fa)
		}
		if round%2 == 0 {
			companion := rng.IntN(companions)
			hr.kill(pe)
			switch companion {
			case companionKilled:
				hr.kill(hr.current[second])
			case companionStopped:
				hr.signal(hr.current[second], syscall.SIGSTOP)
			}
			sleep(time.Duration(500+rng.IntN(2000)) * time.Millisecond)
			hr.de.faults(lovagefake.PlatformFaults{})
			hr.replace(n)
			switch companion {
			case companionKilled:
				hr.replace(second)
			case companionStopped:
				hr.signal(hr.current[second], syscall.SIGCONT)
			}
			continue
		}
		hr.signal(pe, syscall.SIGSTOP)
		sleep(time.Second)
		hr.note("no platform faults")
		hr.de.faults(lovagefake.PlatformFaults{})
		sleep(pastLease)
		hr.signal(pe, syscall.SIGCONT)
	}
	hr.de.faults(lovagefake.PlatformFaults{})
}

// platformFaults draws what happens to the platform.
func (hr *historyRun) platformFaults(rng *rand.Rand) lovagefake.PlatformFaults {
	switch rng.IntN(3) {
	case 0:
		return lovagefake.PlatformFaults{Down: true}
	case 1:
		dc := hr.current[rng.IntN(len(hr.current))].ip.dataCentre
		var cut []string
		for _, pe := range hr.current {
			if pe.ip.dataCentre == dc {
				cut = append(cut, pe.ip.id)
			}
		}
		return lovagefake.PlatformFaults{Partitioned: cut}
	}
	return lovagefake.PlatformFaults{LoseReplies: 2 + rng.IntN(8)}
}

func (hr *historyRun) signal(pe *processEndpoint, sig syscall.Signal) {
	hr.note("%s %s", sig, pe.ip.id)
	pe.ip.signal(sig)
}

func (hr *historyRun) kill(pe *processEndpoint) {
	hr.signal(pe, syscall.SIGKILL)
	pe.ip.exitCode()
}

// replace starts a process in place of the one that was killed.
func (hr *historyRun) replace(n int) {
	ip := hr.current[n].ip
	hr.note("no platform faults, replace %s", ip.id)
	next := hr.endpoint(hr.de.entry(ip.id, ip.dataCentre))
	hr.mu.Lock()
	hr.current[n] = next
	hr.mu.Unlock()
}

func processOptions(t *testing.T) (uint64, time.Duration) {
	seed, duration := uint64(processSeed), processDuration
	var err error
	if text := os.Getenv("LOVAGE_HISTORY_SEED"); text != "" {
		seed, err = strconv.ParseUint(text, 10, 64)
		must.NoError(t, err)
	}
	if text := os.Getenv("LOVAGE_HISTORY_DURATION"); text != "" {
		duration, err = time.ParseDuration(text)
		must.NoError(t, err)
	}
	return seed, duration
}

// Guards against a second start, an untrue answer, a reverted configuration and an epoch with two holders when real
// processes are killed and paused past their lease while callers resubmit everywhere and operators race.
func TestConcurrentHistoryOfProcesses(t *testing.T) {
	seed, duration := processOptions(t)
	de := deploy(t, 6, "kandla", "navlakhi")
	hr := &historyRun{de: de, began: time.Now()}
	for _, id := range []string{"kandla-1", "kandla-2", "kandla-3", "navlakhi-1", "navlakhi-2"} {
		dc, _, _ := strings.Cut(id, "-")
		hr.current = append(hr.current, hr.endpoint(de.entry(id, dc)))
	}
	de.declare(hr.current[0].ip, "kandla", "navlakhi")
	for _, pe := range hr.current {
		de.inForce(pe.ip, 4)
	}
	platform, err := lovageplatform.NewClient(lovageplatform.ClientSettings{
		Addresses: []string{de.platform}, Timeout: time.Second, ID: "history",
	})
	must.NoError(t, err)
	t.Cleanup(platform.Close)
	hr.hi = lovagetrial.NewHistory(lovagetrial.Concurrency{
		Seed: seed, Callers: 8, Operators: 3, Duration: duration, Endpoints: hr.endpoints,
		Rows: func(ctx context.Context) ([]lovageplatform.Row, error) { return platform.Scan(ctx, "range/") },
	})
	var starts []lovagehistory.Entry
	watching, stopWatching := context.WithCancel(context.Background())
	var watch, faults sync.WaitGroup
	watch.Go(func() {
		hr.watchStarts(watching, func(task string, call int64) {
			starts = append(starts, lovagetrial.StartBetween(task, call, time.Now().UnixNano()))
		})
	})
	ctx, cancel := context.WithTimeout(context.Background(), duration+patience)
	defer cancel()
	faulty, stopFaults := context.WithTimeout(ctx, duration)
	defer stopFaults()
	faults.Go(func() { hr.faults(faulty, seed) })
	errRun := hr.hi.Run(ctx)
	faults.Wait()
	if errRun == nil {
		errRun = hr.hi.Finish(ctx)
	}
	stopWatching()
	watch.Wait()
	entries, err := hr.hi.Entries()
	must.NoError(t, err)
	for i := range starts {
		starts[i].ID = fmt.Sprintf("start-%d", i)
	}
	entries = append(entries, starts...)
	ranges, unseen := hr.hi.Ranges()
	t.Logf("seed %d: %s; %d key ranges, %d epochs without a seen holder", seed, lovagetrial.Summary(entries), ranges, unseen)
	t.Logf("faults:\n%s", hr.trace.String())
	must.NoError(t, errRun)
	must.Positive(t, len(starts))
	must.NoError(t, lovagetrial.CheckHistory(entries))
}
