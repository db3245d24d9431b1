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

// CI runs with these defaults. LOVAGE_HISTORY_SEED and LOVAGE_HISTORY_DURATION override them.
const (
	defaultSeed     = 1
	defaultDuration = 26 * time.Second
)

// processEndpoint implements lovagetrial.Endpoint for the process of an instance.
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

// historyRun runs concurrent clients against processes and injects faults.
type historyRun struct {
	de      *deployment
	hi      *lovagetrial.History
	mu      sync.Mutex
	current []*processEndpoint // in the order of their first start
	began   time.Time
	events  strings.Builder
}

func (hr *historyRun) recordEvent(format string, args ...any) {
	hr.mu.Lock()
	defer hr.mu.Unlock()
	fmt.Fprintf(&hr.events, "%s %s\n", time.Since(hr.began).Round(time.Millisecond), fmt.Sprintf(format, args...))
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

// watchStarts records the task starts on the workers. The workers report only how often a task has been started so far,
// so a start is known only to lie between two reads.
func (hr *historyRun) watchStarts(ctx context.Context, record func(task string, call int64)) {
	seen := map[string]int{}
	last := time.Now()
	read := func() {
		call := time.Now()
		for _, line := range hr.de.workers {
			id, _, _ := strings.Cut(line, " ")
			status, data, err := hr.de.call(http.MethodGet, hr.de.workerControl+"/control/workers/"+id+"/starts", nil)
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

// What happens to a second instance while the first one is killed. secondFaults is the number of cases.
const (
	secondUnaffected = iota
	secondKilled
	secondPaused
	secondFaults
)

// injectFaults alternately kills and replaces an instance, and pauses one past its lease, while the platform loses
// replies, is down or is unreachable from one data centre. With some kills a second instance is killed or paused.
func (hr *historyRun) injectFaults(ctx context.Context, seed uint64) {
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
		fa := hr.randomPlatformFaults(rng)
		if rng.IntN(3) > 0 {
			hr.recordEvent("platform faults %+v", fa)
			hr.de.setFaults(fa)
		}
		if round%2 == 0 {
			secondFault := rng.IntN(secondFaults)
			hr.kill(pe)
			switch secondFault {
			case secondKilled:
				hr.kill(hr.current[second])
			case secondPaused:
				hr.signal(hr.current[second], syscall.SIGSTOP)
			}
			sleep(time.Duration(500+rng.IntN(2000)) * time.Millisecond)
			hr.de.setFaults(lovagefake.PlatformFaults{})
			hr.replace(n)
			switch secondFault {
			case secondKilled:
				hr.replace(second)
			case secondPaused:
				hr.signal(hr.current[second], syscall.SIGCONT)
			}
			continue
		}
		hr.signal(pe, syscall.SIGSTOP)
		sleep(time.Second)
		hr.recordEvent("no platform faults")
		hr.de.setFaults(lovagefake.PlatformFaults{})
		sleep(pastLease)
		hr.signal(pe, syscall.SIGCONT)
	}
	hr.de.setFaults(lovagefake.PlatformFaults{})
}

// randomPlatformFaults draws a fault of the platform.
func (hr *historyRun) randomPlatformFaults(rng *rand.Rand) lovagefake.PlatformFaults {
	switch rng.IntN(3) {
	case 0:
		return lovagefake.PlatformFaults{Down: true}
	case 1:
		dc := hr.current[rng.IntN(len(hr.current))].ip.dataCentre
		var partitioned []string
		for _, pe := range hr.current {
			if pe.ip.dataCentre == dc {
				partitioned = append(partitioned, pe.ip.id)
			}
		}
		return lovagefake.PlatformFaults{Partitioned: partitioned}
	}
	return lovagefake.PlatformFaults{LoseReplies: 2 + rng.IntN(8)}
}

func (hr *historyRun) signal(pe *processEndpoint, sig syscall.Signal) {
	hr.recordEvent("%s %s", sig, pe.ip.id)
	pe.ip.signal(sig)
}

func (hr *historyRun) kill(pe *processEndpoint) {
	hr.signal(pe, syscall.SIGKILL)
	pe.ip.exitCode()
}

// replace starts a new process for the killed instance n.
func (hr *historyRun) replace(n int) {
	ip := hr.current[n].ip
	hr.recordEvent("no platform faults, replace %s", ip.id)
	next := hr.endpoint(hr.de.startEntry(ip.id, ip.dataCentre))
	hr.mu.Lock()
	hr.current[n] = next
	hr.mu.Unlock()
}

func historyOptions(t *testing.T) (uint64, time.Duration) {
	seed, duration := uint64(defaultSeed), defaultDuration
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

// Guards against a task that starts twice, a wrong answer, a reverted configuration and an epoch with two holders, when
// processes are killed or paused past their lease while callers resubmit to all instances and operators write
// concurrently.
func TestConcurrentHistoryOfProcesses(t *testing.T) {
	seed, duration := historyOptions(t)
	de := deploy(t, 6, "kandla", "navlakhi")
	hr := &historyRun{de: de, began: time.Now()}
	for _, id := range []string{"kandla-1", "kandla-2", "kandla-3", "navlakhi-1", "navlakhi-2"} {
		dc, _, _ := strings.Cut(id, "-")
		hr.current = append(hr.current, hr.endpoint(de.startEntry(id, dc)))
	}
	de.declareResources(hr.current[0].ip, "kandla", "navlakhi")
	for _, pe := range hr.current {
		de.awaitRevision(pe.ip, 4)
	}
	platform, err := lovageplatform.NewClient(lovageplatform.ClientSettings{
		Addresses: []string{de.platform}, Timeout: time.Second, ID: "history",
	})
	must.NoError(t, err)
	t.Cleanup(platform.Close)
	hr.hi = lovagetrial.NewHistory(lovagetrial.HistoryWorkload{
		Seed: seed, Callers: 8, Operators: 3, Duration: duration, Endpoints: hr.endpoints,
		Rows: func(ctx context.Context) ([]lovageplatform.Row, error) { return platform.Scan(ctx, "range/") },
	})
	var starts []lovagehistory.Entry
	watchCtx, stopWatching := context.WithCancel(context.Background())
	var watch, faults sync.WaitGroup
	watch.Go(func() {
		hr.watchStarts(watchCtx, func(task string, call int64) {
			starts = append(starts, lovagetrial.StartEntry(task, call, time.Now().UnixNano()))
		})
	})
	ctx, cancel := context.WithTimeout(context.Background(), duration+waitTimeout)
	defer cancel()
	faultCtx, stopFaults := context.WithTimeout(ctx, duration)
	defer stopFaults()
	faults.Go(func() { hr.injectFaults(faultCtx, seed) })
	runErr := hr.hi.Run(ctx)
	faults.Wait()
	if runErr == nil {
		runErr = hr.hi.Finish(ctx)
	}
	stopWatching()
	watch.Wait()
	entries, err := hr.hi.Entries()
	must.NoError(t, err)
	for i := range starts {
		starts[i].ID = fmt.Sprintf("start-%d", i)
	}
	entries = append(entries, starts...)
	ranges, unseen := hr.hi.RangeCounts()
	t.Logf("seed %d: %s; %d key ranges, %d epochs without a seen holder", seed, lovagetrial.Summary(entries), ranges, unseen)
	t.Logf("faults:\n%s", hr.events.String())
	must.NoError(t, runErr)
	must.Positive(t, len(starts))
	must.NoError(t, lovagetrial.CheckHistory(entries))
}
