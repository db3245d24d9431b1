package lovagetrial

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"lovagestack/lovageapi"
	"lovagestack/lovagehistory"
	"lovagestack/lovageresource"
)

// Limits of each job. With few operations per key, the models are checked quickly.
const (
	maxTasksPerJob = 4
	maxKeyReuses   = 8
)

// historyCallTimeout limits the time of a call, so that a caller does not wait for an instance that is paused or cut
// off.
const historyCallTimeout = 3 * time.Second

// callContext returns the context of one call. The end of the run does not cancel the call: a cancelled call would look
// as if the instance had cut it off.
func callContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(ctx), historyCallTimeout)
}

// submittedJobs holds the submitted jobs, so that any caller can reuse their keys.
type submittedJobs struct {
	mu   sync.Mutex
	jobs []lovageapi.JobRequest
	uses map[string]int // how often drawRecent drew each key
}

func (sj *submittedJobs) add(jo lovageapi.JobRequest) {
	sj.mu.Lock()
	defer sj.mu.Unlock()
	sj.jobs = append(sj.jobs, jo)
}

// drawRecent returns a random one of the last 100 jobs. It returns false if there is none or its key was drawn more than
// maxKeyReuses times.
func (sj *submittedJobs) drawRecent(rng *rand.Rand) (lovageapi.JobRequest, bool) {
	sj.mu.Lock()
	defer sj.mu.Unlock()
	if sj.uses == nil {
		sj.uses = map[string]int{}
	}
	recent := sj.jobs[max(0, len(sj.jobs)-100):]
	if len(recent) == 0 {
		return lovageapi.JobRequest{}, false
	}
	jo := recent[rng.IntN(len(recent))]
	sj.uses[jo.Key]++
	return jo, sj.uses[jo.Key] <= maxKeyReuses
}

func (sj *submittedJobs) all() []lovageapi.JobRequest {
	sj.mu.Lock()
	defer sj.mu.Unlock()
	return slices.Clone(sj.jobs)
}

// historyCaller is one caller. The seed determines its random choices, but not the answers that it receives.
type historyCaller struct {
	history *History
	rng     *rand.Rand
}

func newHistoryCaller(hi *History, number int) *historyCaller {
	return &historyCaller{history: hi, rng: rand.New(rand.NewPCG(hi.workload.Seed, uint64(number)+1))}
}

func (hc *historyCaller) randomEndpoint() Endpoint {
	eps := hc.history.workload.Endpoints()
	return eps[hc.rng.IntN(len(eps))]
}

func (hc *historyCaller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if hc.rng.IntN(3) == 0 {
			hc.reuseKey(ctx)
			continue
		}
		repeatable := hc.rng.IntN(2) == 0
		keys, err := hc.history.mint(ctx, hc.randomEndpoint(), 1+hc.rng.IntN(2), repeatable)
		if err != nil {
			if pauseFor(ctx, pollInterval) != nil {
				return
			}
		}
		for _, key := range keys {
			runTime := time.Duration(1+hc.rng.IntN(30)) * time.Millisecond
			deadline := time.Now().Add(time.Duration(500+hc.rng.IntN(2500)) * time.Millisecond)
			jo := NewJob(key, repeatable, 1+hc.rng.IntN(maxTasksPerJob), runTime, deadline)
			hc.history.submitted.add(jo)
			hc.submitConcurrently(ctx, jo)
		}
	}
}

// submitConcurrently submits a job at one instance. It may also submit, cancel or ask about the job at others meanwhile.
func (hc *historyCaller) submitConcurrently(ctx context.Context, jo lovageapi.JobRequest) {
	var wg sync.WaitGroup
	defer wg.Wait()
	first := hc.randomEndpoint()
	wg.Go(func() { hc.history.submit(ctx, first, jo) })
	if hc.rng.IntN(2) == 0 {
		other := hc.randomEndpoint()
		wg.Go(func() { hc.history.submit(ctx, other, jo) })
	}
	switch hc.rng.IntN(4) {
	case 0:
		other, delay := hc.randomEndpoint(), time.Duration(hc.rng.IntN(40))*time.Millisecond
		wg.Go(func() {
			if pauseFor(ctx, delay) == nil {
				hc.history.cancel(ctx, other, jo.Key)
			}
		})
	case 1:
		other := hc.randomEndpoint()
		wg.Go(func() { hc.history.ask(ctx, other, jo.Key) })
	}
}

// reuseKey asks about, cancels or resubmits an earlier job of any caller. A resubmission has a new deadline, as if the
// caller believed the job lost.
func (hc *historyCaller) reuseKey(ctx context.Context) {
	ep, choice := hc.randomEndpoint(), hc.rng.IntN(10)
	jo, ok := hc.history.submitted.drawRecent(hc.rng)
	if !ok {
		_ = pauseFor(ctx, time.Millisecond)
		return
	}
	switch choice {
	case 0, 1:
		hc.history.ask(ctx, ep, jo.Key)
	case 2:
		hc.history.cancel(ctx, ep, jo.Key)
	case 3: // a submission with other tasks must not get the answer to the first one
		jo.Tasks = append(slices.Clone(jo.Tasks), jo.Tasks[0])
		jo.Deadline = time.Now().Add(time.Second)
		hc.history.submit(ctx, ep, jo)
	default:
		jo.Deadline = time.Now().Add(2 * time.Second)
		hc.history.submit(ctx, ep, jo)
	}
}

func (hi *History) mint(ctx context.Context, ep Endpoint, count int, repeatable bool) ([]string, error) {
	ctx, cancel := callContext(ctx)
	defer cancel()
	callTime := hi.rangeWatcher.now()
	keys, err := ep.Mint(ctx, count, repeatable)
	returnTime := hi.rangeWatcher.now()
	hi.mu.Lock()
	defer hi.mu.Unlock()
	for _, key := range keys {
		name, epoch, ok := rangeAndEpoch(key)
		if !ok {
			return nil, errors.Newf("%q is not a key", key)
		}
		hi.mints = append(hi.mints, lovagehistory.Entry{
			ID: fmt.Sprintf("mint-%d", len(hi.mints)), Call: callTime, Return: returnTime,
			Operation: lovagehistory.Operation{Kind: lovagehistory.OwnerAction, Client: ep.Name(), Range: name, Epoch: epoch},
		})
	}
	return keys, err
}

func (hi *History) submit(ctx context.Context, ep Endpoint, jo lovageapi.JobRequest) {
	content := strconv.Itoa(len(jo.Tasks))
	for _, ta := range jo.Tasks {
		content += " " + strconv.Itoa(len(ta.Payload))
	}
	op := lovagehistory.Operation{Kind: lovagehistory.Submit, Client: ep.Name(), Key: jo.Key, Content: content}
	hi.recordCall(ctx, op, func(ctx context.Context) (lovageapi.AnswerReply, error) { return ep.Submit(ctx, jo) })
}

func (hi *History) ask(ctx context.Context, ep Endpoint, key string) {
	op := lovagehistory.Operation{Kind: lovagehistory.Ask, Client: ep.Name(), Key: key}
	hi.recordCall(ctx, op, func(ctx context.Context) (lovageapi.AnswerReply, error) { return ep.Ask(ctx, key, 0) })
}

func (hi *History) cancel(ctx context.Context, ep Endpoint, key string) {
	op := lovagehistory.Operation{Kind: lovagehistory.Cancel, Client: ep.Name(), Key: key}
	hi.recordCall(ctx, op, func(ctx context.Context) (lovageapi.AnswerReply, error) { return ep.Cancel(ctx, key) })
}

// recordCall sends and records a request about a key. If no reply arrives, it records no response.
func (hi *History) recordCall(ctx context.Context, op lovagehistory.Operation,
	send func(ctx context.Context) (lovageapi.AnswerReply, error),
) {
	ctx, cancel := callContext(ctx)
	defer cancel()
	recordResponse := hi.recorder.Begin(op)
	an, err := send(ctx)
	var reply *lovageapi.ReplyError
	switch {
	case err == nil:
		recordResponse(answerResult(&an))
	case errors.As(err, &reply):
		recordResponse(lovagehistory.Result{Key: op.Key})
	case strings.Contains(err.Error(), "got the answer to key"): // lovageapi.Client got the answer to another key
		recordResponse(lovagehistory.Result{Outcome: "crossed", Key: err.Error()})
	}
}

// answerResult converts an answer. As in RecordStart, a result's digest is the task that the worker's reply names.
func answerResult(an *lovageapi.AnswerReply) lovagehistory.Result {
	out := lovagehistory.Result{
		Outcome: string(an.Outcome), Key: an.Key.String(), Tasks: an.Tasks, Started: an.Started,
	}
	for _, re := range an.Results {
		var workerReply struct{ Task string }
		if err := json.Unmarshal(re.Body, &workerReply); err != nil {
			workerReply.Task = err.Error()
		}
		out.Results = append(out.Results, workerReply.Task)
	}
	return out
}

// racedTeams are the teams that operators change concurrently. No job belongs to them.
var racedTeams = []string{"race-0", "race-1", "race-2"}

// historyOperator reads a resource at a random instance. At another one it may replace or delete the revision read.
type historyOperator struct {
	history *History
	rng     *rand.Rand
}

func newHistoryOperator(hi *History, number int) *historyOperator {
	return &historyOperator{history: hi, rng: rand.New(rand.NewPCG(hi.workload.Seed, uint64(number)+1_000_001))}
}

func (ho *historyOperator) run(ctx context.Context) {
	for pauseFor(ctx, time.Duration(ho.rng.IntN(60))*time.Millisecond) == nil {
		eps := ho.history.workload.Endpoints()
		readAt, writeAt := eps[ho.rng.IntN(len(eps))], eps[ho.rng.IntN(len(eps))]
		name, write, remove := racedTeams[ho.rng.IntN(len(racedTeams))], ho.rng.IntN(3) > 0, ho.rng.IntN(5) == 0
		li, _, err := ho.history.listResources(ctx, readAt)
		if err != nil || !write {
			continue
		}
		var revision int64
		for _, resource := range li.Resources {
			if resource.Kind == lovageresource.KindTeam && resource.Name == name {
				revision = resource.Revision
			}
		}
		if remove && revision > 0 {
			ho.history.deleteTeam(ctx, writeAt, name, revision)
			continue
		}
		ho.history.putTeam(ctx, writeAt, name, revision)
	}
}

// listResources lists the resources of an instance. If the instance was ready, it records the raced teams.
func (hi *History) listResources(ctx context.Context, ep Endpoint) (lovageapi.ListReply, bool, error) {
	ctx, cancel := callContext(ctx)
	defer cancel()
	var recordResponse []func(lovagehistory.Result)
	for _, name := range racedTeams {
		recordResponse = append(recordResponse, hi.recorder.Begin(lovagehistory.Operation{
			Kind: lovagehistory.ConfigApply, Client: ep.Name(), Instance: ep.Name(), Name: name,
		}))
	}
	li, ready, err := ep.List(ctx)
	if err != nil || !ready {
		return li, ready, err
	}
	for i, name := range racedTeams {
		result := lovagehistory.Result{Revision: li.Revision}
		for _, resource := range li.Resources {
			if team, ok := resource.Spec.(lovageresource.Team); ok && resource.Name == name {
				result.Content = strconv.Itoa(team.RunningTasks)
			}
		}
		recordResponse[i](result)
	}
	return li, ready, nil
}

// putTeam replaces a revision of a raced team with content that no other write has.
func (hi *History) putTeam(ctx context.Context, ep Endpoint, name string, revision int64) {
	ctx, cancel := callContext(ctx)
	defer cancel()
	hi.mu.Lock()
	hi.putCount++
	team := lovageresource.DefaultTeam()
	team.RunningTasks = hi.putCount
	hi.mu.Unlock()
	recordResponse := hi.recorder.Begin(lovagehistory.Operation{
		Kind: lovagehistory.ConfigWrite, Client: ep.Name(), Name: name, Revision: revision,
		Content: strconv.Itoa(team.RunningTasks),
	})
	res, err := ep.Put(ctx, lovageresource.Resource{
		Kind: lovageresource.KindTeam, Name: name, Revision: revision, Spec: team,
	})
	recordWrite(recordResponse, res, err)
}

// deleteTeam deletes a raced team, which the history records as a write without content.
func (hi *History) deleteTeam(ctx context.Context, ep Endpoint, name string, revision int64) {
	ctx, cancel := callContext(ctx)
	defer cancel()
	recordResponse := hi.recorder.Begin(lovagehistory.Operation{
		Kind: lovagehistory.ConfigWrite, Client: ep.Name(), Name: name, Revision: revision,
	})
	res, err := ep.Delete(ctx, lovageresource.KindTeam, name, revision)
	recordWrite(recordResponse, res, err)
}

// recordWrite records the result of a write. If a write may have been sent but got no reply, it records no response.
func recordWrite(recordResponse func(lovagehistory.Result), res lovageresource.WriteResult, err error) {
	var reply *lovageapi.ReplyError
	switch {
	case errors.As(err, &reply), errors.Is(err, lovageapi.ErrNotSent):
		recordResponse(lovagehistory.Result{WriteOutcome: lovagehistory.NoEffect})
	case err != nil: // no response, because the write may still take effect
	case res.Outcome == lovageresource.WriteAccepted:
		recordResponse(lovagehistory.Result{WriteOutcome: lovagehistory.Committed, Revision: res.Revision})
	case res.Outcome == lovageresource.WriteConflict:
		recordResponse(lovagehistory.Result{WriteOutcome: lovagehistory.Refused, Revision: res.Revision})
	case res.Outcome == lovageresource.WriteUnavailable:
		recordResponse(lovagehistory.Result{WriteOutcome: lovagehistory.NoEffect})
	default: // an ambiguous write may take effect later; WriteUnchanged is impossible, because no two contents are equal
		recordResponse(lovagehistory.Result{WriteOutcome: lovagehistory.Indeterminate})
	}
}
