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

// processEndpoint implements lovagetrial.Endpoint for an instance's process.
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
	de              *deployment
	history         *lovagetrial.History
	mu              sync.Mutex
	latestEndpoints []*processEndpoint // latest process of each instance; a replacement keeps the index
	startTime       time.Time
	eventLog        strings.Builder
}

func (hr *historyRun) recordEvent(format string, args ...any) {
	hr.mu.Lock()
	defer hr.mu.Unlock()
	fmt.Fprintf(&hr.eventLog, "%s %s\n", time.Since(hr.startTime).Round(time.Millisecond), fmt.Sprintf(format, args...))
}

func (hr *historyRun) newEndpoint(ip *instanceProcess) *processEndpoint {
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
	out := make([]lovagetrial.Endpoint, len(hr.latestEndpoints))
	for i, pe := range hr.latestEndpoints {
		out[i] = pe
	}
	return out
}

// watchStarts records the task starts on the workers. A worker reports only how often a task has been started so far,
// so the time of a start is only known to lie between two reads.
func (hr *historyRun) watchStarts(ctx context.Context, record func(task string, earliestUnixNano int64)) {
	recordedStarts := map[string]int{}
	previousRead := time.Now()
	readStarts := func() {
		readTime := time.Now()
		for _, line := range hr.de.workers {
			id, _, _ := strings.Cut(line, " ")
			status, data, err := hr.de.call(http.MethodGet, hr.de.workerControl+"/control/workers/"+id+"/starts", nil)
			var starts map[string]int
			if err != nil || status != http.StatusOK || json.Unmarshal(data, &starts) != nil {
				hr.de.t.Errorf("read the starts of %s: status %d, %v", id, status, err)
				return
			}
			for task, n := range starts {
				for ; recordedStarts[id+" "+task] < n; recordedStarts[id+" "+task]++ {
					record(task, previousRead.UnixNano())
				}
			}
		}
		previousRead = readTime
	}
	for ctx.Err() == nil {
		readStarts()
		select {
		case <-ctx.Done():
		case <-time.After(50 * time.Millisecond):
		}
	}
	readStarts()
}

// Faults of a second instance while another one is killed and replaced. secondFaultCount is the number of faults.
const (
	secondUnaffected = iota
	secondKilled
	secondPaused
	secondFaultCount
)

// injectFaults alternates two kinds of rounds: it kills and replaces an instance, or pauses one past its lease. In two
// of three rounds, on average, the platform loses replies, is down or is unreachable from one data centre. In some kill
// rounds it also kills or pauses a second instance.
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
		firstIndex := rng.IntN(len(hr.latestEndpoints))
		pe := hr.latestEndpoints[firstIndex] // read without mu, because only this goroutine changes latestEndpoints
		secondIndex := (firstIndex + 1 + rng.IntN(len(hr.latestEndpoints)-1)) % len(hr.latestEndpoints)
		fa := hr.randomPlatformFaults(rng)
		if rng.IntN(3) > 0 {
			hr.recordEvent("platform faults %+v", fa)
			hr.de.setPlatformFaults(fa)
		}
		if round%2 == 0 {
			secondFault := rng.IntN(secondFaultCount)
			hr.kill(pe)
			switch secondFault {
			case secondKilled:
				hr.kill(hr.latestEndpoints[secondIndex])
			case secondPaused:
				hr.signal(hr.latestEndpoints[secondIndex], syscall.SIGSTOP)
			}
			sleep(time.Duration(500+rng.IntN(2000)) * time.Millisecond)
			hr.de.setPlatformFaults(lovagefake.PlatformFaults{})
			hr.replaceInstance(firstIndex)
			switch secondFault {
			case secondKilled:
				hr.replaceInstance(secondIndex)
			case secondPaused:
				hr.signal(hr.latestEndpoints[secondIndex], syscall.SIGCONT)
			}
			continue
		}
		hr.signal(pe, syscall.SIGSTOP)
		sleep(time.Second)
		hr.recordEvent("no platform faults")
		hr.de.setPlatformFaults(lovagefake.PlatformFaults{})
		sleep(leaseExpiryWait)
		hr.signal(pe, syscall.SIGCONT)
	}
	hr.de.setPlatformFaults(lovagefake.PlatformFaults{})
}

// randomPlatformFaults returns one random platform fault.
func (hr *historyRun) randomPlatformFaults(rng *rand.Rand) lovagefake.PlatformFaults {
	switch rng.IntN(3) {
	case 0:
		return lovagefake.PlatformFaults{Down: true}
	case 1:
		dc := hr.latestEndpoints[rng.IntN(len(hr.latestEndpoints))].ip.dataCentre
		var partitioned []string
		for _, pe := range hr.latestEndpoints {
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

// replaceInstance starts a new process for a killed instance.
func (hr *historyRun) replaceInstance(index int) {
	ip := hr.latestEndpoints[index].ip
	hr.recordEvent("no platform faults, replace %s", ip.id)
	next := hr.newEndpoint(hr.de.startEntry(ip.id, ip.dataCentre))
	hr.mu.Lock()
	hr.latestEndpoints[index] = next
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

// Checks that no task starts twice, no answer is wrong, no configuration is reverted and no range epoch has two owners.
// Processes are killed or paused past their lease while callers resubmit to all instances and operators write.
func TestConcurrentHistoryOfProcesses(t *testing.T) {
	seed, duration := historyOptions(t)
	de := deploy(t, 6, "kandla", "navlakhi")
	hr := &historyRun{de: de, startTime: time.Now()}
	for _, id := range []string{"kandla-1", "kandla-2", "kandla-3", "navlakhi-1", "navlakhi-2"} {
		dc, _, _ := strings.Cut(id, "-")
		hr.latestEndpoints = append(hr.latestEndpoints, hr.newEndpoint(de.startEntry(id, dc)))
	}
	de.declareResources(hr.latestEndpoints[0].ip, "kandla", "navlakhi")
	for _, pe := range hr.latestEndpoints {
		de.awaitRevision(pe.ip, 4)
	}
	platform, err := lovageplatform.NewClient(lovageplatform.ClientSettings{
		Addresses: []string{de.platformAddress}, Timeout: time.Second, ID: "history",
	})
	must.NoError(t, err)
	t.Cleanup(platform.Close)
	hr.history = lovagetrial.NewHistory(lovagetrial.HistoryWorkload{
		Seed: seed, Callers: 8, Operators: 3, Duration: duration, Endpoints: hr.endpoints,
		Rows: func(ctx context.Context) ([]lovageplatform.Row, error) { return platform.Scan(ctx, "range/") },
	})
	var starts []lovagehistory.Entry
	watchCtx, stopWatching := context.WithCancel(context.Background())
	var watchGroup, faultGroup sync.WaitGroup
	watchGroup.Go(func() {
		hr.watchStarts(watchCtx, func(task string, call int64) {
			starts = append(starts, lovagetrial.TaskStartEntry(task, call, time.Now().UnixNano()))
		})
	})
	ctx, cancel := context.WithTimeout(context.Background(), duration+waitTimeout)
	defer cancel()
	faultCtx, stopFaults := context.WithTimeout(ctx, duration)
	defer stopFaults()
	faultGroup.Go(func() { hr.injectFaults(faultCtx, seed) })
	runErr := hr.history.Run(ctx)
	faultGroup.Wait()
	if runErr == nil {
		runErr = hr.history.Finish(ctx)
	}
	stopWatching()
	watchGroup.Wait()
	entries, err := hr.history.Entries()
	must.NoError(t, err)
	for i := range starts {
		starts[i].ID = fmt.Sprintf("start-%d", i)
	}
	entries = append(entries, starts...)
	rangeCount, unseenEpochs := hr.history.RangeCounts()
	t.Logf("seed %d: %s; %d key ranges, %d epochs without a seen holder", seed, lovagetrial.HistorySummary(entries), rangeCount,
		unseenEpochs)
	t.Logf("faults:\n%s", hr.eventLog.String())
	must.NoError(t, runErr)
	must.Positive(t, len(starts))
	must.NoError(t, lovagetrial.CheckHistory(entries))
}
