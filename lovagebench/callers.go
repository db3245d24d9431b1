package lovagebench

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"regexp"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"lovagestack/lovageapi"
	"lovagestack/lovageconfig"
	"lovagestack/lovagefake"
	"lovagestack/lovagejob"
	"lovagestack/lovageload"
)

const (
	keyBatch     = 200 // keys minted at once
	keyRefill    = 100 // keys left at which the next batch is minted
	retryPause   = 100 * time.Millisecond
	retryFor     = 20 * time.Second // time for which a job with an unknown outcome is submitted again
	newKeyAfter  = 3                // unknown answers after which a repeatable job gets a new key
	maxListed    = 20               // violations that are listed
	allInstances = -1
)

// callers is the lovageload.Target: many callers of one deployment. A caller takes a key that was minted ahead of time
// and sends the job to the instance where it got the key or, if random is set, to a random one. The client of the
// variant may then use the owner's address. With the variant's NoKey, jobs that may be repeated have no key; the scenario
// that cancels all jobs does not know them. Without a definite answer it
// submits the job again, elsewhere.
type callers struct {
	de     *deployment
	random bool

	next        atomic.Uint64
	submissions atomic.Int64 // first submissions
	repeated    atomic.Int64 // further submissions of the same job

	mu         sync.Mutex
	rng        *rand.Rand
	keys       map[keySource][]lovagejob.Key
	refilling  map[keySource]bool
	homes      map[lovagejob.Key]int // instances of keys given out by Mint and of jobs in progress
	notRun     []lovagejob.Key
	complete   map[lovagejob.Key]int // number of tasks
	violations []string
	violated   int
	single     Single
	reasons    map[string]int // of answers that are not complete
}

// Single splits the response time of complete jobs with one task. All fields are means in parts of the run time on the
// fastest worker, so that Wait and Slow add up to the mean response over ideal, less 1, while a fastest slot is free.
type Single struct {
	Jobs int     `json:"jobs"`
	Wait float64 `json:"wait"` // time in which the task did not run: queue, network and processing
	Slow float64 `json:"slow"` // additional run time because the worker is slower than the fastest
}

// keySource is where a key comes from.
type keySource struct {
	instance   int
	repeatable bool
}

func newCallers(de *deployment) *callers {
	return &callers{
		de: de, random: de.va.RandomInstance, rng: rand.New(rand.NewPCG(de.op.Seeds[0], 7)),
		keys: map[keySource][]lovagejob.Key{}, refilling: map[keySource]bool{}, homes: map[lovagejob.Key]int{},
		complete: map[lovagejob.Key]int{}, reasons: map[string]int{},
	}
}

// prepare mints the first batch of keys everywhere.
func (ca *callers) prepare(ctx context.Context) error {
	for i := range ca.de.instances {
		for _, repeatable := range []bool{false, true} {
			if err := ca.mintBatch(ctx, keySource{i, repeatable}); err != nil {
				return err
			}
		}
	}
	return nil
}

func (ca *callers) mintBatch(ctx context.Context, ks keySource) error {
	mi, err := ca.de.instances[ks.instance].client.Mint(ctx, lovagejob.MintRequest{
		Count: keyBatch, Repeatable: ks.repeatable,
	})
	ca.mu.Lock()
	defer ca.mu.Unlock()
	ca.refilling[ks] = false
	ca.keys[ks] = append(ca.keys[ks], mi.Keys...)
	return err
}

// take returns a key from a live instance, in turn, and the instance.
func (ca *callers) take(ctx context.Context, repeatable bool) (lovagejob.Key, int, error) {
	for range 2 * len(ca.de.instances) {
		ks := keySource{int(ca.next.Add(1) % uint64(len(ca.de.instances))), repeatable}
		if ca.de.instances[ks.instance].killed.Load() {
			continue
		}
		if key, ok := ca.pop(ctx, ks); ok {
			return key, ks.instance, nil
		}
		if ca.mintBatch(ctx, ks) == nil {
			if key, ok := ca.pop(ctx, ks); ok {
				return key, ks.instance, nil
			}
		}
	}
	return lovagejob.Key{}, 0, errors.New("no instance mints keys")
}

func (ca *callers) pop(ctx context.Context, ks keySource) (lovagejob.Key, bool) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	keys := ca.keys[ks]
	if len(keys) <= keyRefill && !ca.refilling[ks] {
		ca.refilling[ks] = true
		go (&refill{ca, ks}).run(context.WithoutCancel(ctx))
	}
	if len(keys) == 0 {
		return lovagejob.Key{}, false
	}
	ca.keys[ks] = keys[1:]
	ca.homes[keys[0]] = ks.instance
	return keys[0], true
}

// refill mints a batch in the background.
type refill struct {
	ca *callers
	ks keySource
}

func (re *refill) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	_ = re.ca.mintBatch(ctx, re.ks) // a caller that finds no key mints itself and sees the error
}

// Mint implements lovageload.Target.
func (ca *callers) Mint(ctx context.Context, repeatable bool) (lovagejob.Key, error) {
	key, _, err := ca.take(ctx, repeatable)
	return key, err
}

// Cancel implements lovageload.Target.
func (ca *callers) Cancel(ctx context.Context, key lovagejob.Key) error {
	ca.mu.Lock()
	home, ok := ca.homes[key]
	ca.mu.Unlock()
	if !ok {
		return nil // the job has ended
	}
	_, err := ca.de.instances[home].client.Cancel(ctx, key.String())
	return err
}

// cancelAll cancels every job in progress and returns how many there were.
func (ca *callers) cancelAll(ctx context.Context) int {
	ca.mu.Lock()
	keys := make([]lovagejob.Key, 0, len(ca.homes))
	for key := range ca.homes {
		keys = append(keys, key)
	}
	ca.mu.Unlock()
	for _, key := range keys {
		go (&cancellation{ca, key}).run(ctx)
	}
	return len(keys)
}

type cancellation struct {
	ca  *callers
	key lovagejob.Key
}

func (cn *cancellation) run(ctx context.Context) { _ = cn.ca.Cancel(ctx, cn.key) } // the job's own answer tells

// Submit implements lovageload.Target.
func (ca *callers) Submit(ctx context.Context, sub *lovagejob.Submission) (lovagejob.Answer, error) {
	key, home := sub.Key, 0
	var err error
	noKey := ca.de.va.NoKey && sub.Repeatable && key.IsZero()
	switch {
	case noKey:
	case key.IsZero():
		if key, home, err = ca.take(ctx, sub.Repeatable); err != nil {
			return lovagejob.Answer{}, err
		}
	default:
		ca.mu.Lock()
		home = ca.homes[key]
		ca.mu.Unlock()
	}
	at := home
	if ca.random {
		at = ca.elsewhere(allInstances)
	}
	request, err := ca.request(sub, key)
	if err != nil {
		return lovagejob.Answer{}, err
	}
	defer func() { ca.forget(key) }()
	ca.submissions.Add(1)
	for until, tries := time.Now().Add(retryFor), 1; ; tries++ {
		sent := time.Now()
		reply, err := ca.de.instances[at].client.Submit(ctx, request)
		if err == nil && noKey {
			key, noKey = reply.Key, false
			request.Key = key.String()
		}
		if err == nil {
			ca.split(&reply, time.Since(sent))
			ca.check(key, &reply, len(sub.Tasks))
		}
		var re *lovageapi.ReplyError
		if err == nil && reply.Outcome.Final() || errors.As(err, &re) && statusFinal(re.Status) || time.Now().After(until) {
			return lovagejob.Answer{Key: key, Outcome: reply.Outcome, Reason: reply.Reason}, err
		}
		if !pause(ctx, retryPause) {
			return lovagejob.Answer{}, ctx.Err()
		}
		if sub.Repeatable && err == nil && tries%newKeyAfter == 0 {
			ca.forget(key)
			if key, at, err = ca.take(ctx, true); err != nil {
				return lovagejob.Answer{}, err
			}
			request.Key = key.String()
		} else {
			at = ca.elsewhere(at)
		}
		ca.repeated.Add(1)
	}
}

func (ca *callers) forget(key lovagejob.Key) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	delete(ca.homes, key)
}

// elsewhere returns a random live instance other than the one given.
func (ca *callers) elsewhere(than int) int {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	for {
		if i := ca.rng.IntN(len(ca.de.instances)); i != than && !ca.de.instances[i].killed.Load() {
			return i
		}
	}
}

// request translates the payloads to those of the stand-in workers.
func (ca *callers) request(sub *lovagejob.Submission, key lovagejob.Key) (lovageapi.JobRequest, error) {
	out := lovageapi.JobRequest{
		Service: sub.Service, Team: sub.Team, Repeatable: sub.Repeatable, Deadline: sub.Deadline,
		DeclaredRunTime: lovageconfig.Duration(sub.DeclaredRunTime), Tasks: make([]lovageapi.TaskRequest, len(sub.Tasks)),
	}
	if !key.IsZero() {
		out.Key = key.String()
	}
	for i, ta := range sub.Tasks {
		var pa lovageload.Payload
		if err := json.Unmarshal(ta.Payload, &pa); err != nil {
			return out, errors.Wrap(err, "decode a generated payload")
		}
		runTime := time.Duration(pa.WorkMillis * float64(time.Millisecond))
		out.Tasks[i].Payload = json.RawMessage(`{"runTime":"` + runTime.String() + `"}`)
	}
	return out, nil
}

// check judges one answer by itself and keeps what checkStarts needs.
func (ca *callers) check(key lovagejob.Key, reply *lovageapi.AnswerReply, tasks int) {
	if reply.Outcome != lovagejob.Complete && len(reply.Results) > 0 {
		ca.violation("job %s is %s and has %d results", key, reply.Outcome, len(reply.Results))
	}
	ca.mu.Lock()
	if reply.Outcome != lovagejob.Complete {
		ca.reasons[fmt.Sprintf("%s: %s", reply.Outcome, numbers.ReplaceAllString(reply.Reason, "N"))]++
	}
	switch reply.Outcome {
	case lovagejob.NotRun:
		ca.notRun = append(ca.notRun, key)
	case lovagejob.Complete:
		ca.complete[key] = tasks
	}
	ca.mu.Unlock()
	if reply.Outcome != lovagejob.Complete || len(reply.Results) == 0 {
		return // the outcome alone is a whole answer to a repeated submission
	}
	if len(reply.Results) != tasks {
		ca.violation("job %s is complete with %d results for %d tasks", key, len(reply.Results), tasks)
	}
	for i := range reply.Results {
		var body struct{ Task string }
		want := key.String() + "/" + strconv.Itoa(i)
		if json.Unmarshal(reply.Results[i].Body, &body) != nil || body.Task != want || reply.Results[i].Task != i {
			ca.violation("result %d of job %s is that of task %q", i, key, body.Task)
		}
	}
}

// split adds the answer to ca.single. The stand-in worker's reply names its run time.
func (ca *callers) split(reply *lovageapi.AnswerReply, response time.Duration) {
	if reply.Outcome != lovagejob.Complete || len(reply.Results) != 1 {
		return
	}
	var body struct {
		RunTime lovagefake.Duration
		Worker  string
	}
	if json.Unmarshal(reply.Results[0].Body, &body) != nil || body.RunTime <= 0 {
		return
	}
	ran := time.Duration(body.RunTime).Seconds()
	best := ran * ca.de.speed(body.Worker) / slices.Max(speeds)
	ca.mu.Lock()
	defer ca.mu.Unlock()
	ca.single.Jobs++
	ca.single.Wait += (response.Seconds() - ran) / best
	ca.single.Slow += (ran - best) / best
}

// numbers are left out of reasons, so that those of one kind are counted together.
var numbers = regexp.MustCompile(`[0-9][0-9.:]*`)

// takeReasons returns the reasons since the last call.
func (ca *callers) takeReasons() map[string]int {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	out := ca.reasons
	ca.reasons = map[string]int{}
	return out
}

// takeSingle returns the means since the last call.
func (ca *callers) takeSingle() Single {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	out := ca.single
	ca.single = Single{}
	out.Wait /= float64(max(1, out.Jobs))
	out.Slow /= float64(max(1, out.Jobs))
	return out
}

func (ca *callers) violation(format string, args ...any) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	ca.violated++
	if len(ca.violations) < maxListed {
		ca.violations = append(ca.violations, fmt.Sprintf(format, args...))
	}
}

// checkStarts compares the workers' records of starts with the answers since the last call: no task was started twice,
// each task of a complete job was started, and no task of a job that was "not run". It returns what is wrong.
func (ca *callers) checkStarts() []string {
	for task, n := range lovagefake.DuplicateStarts(ca.de.workers...) {
		ca.violation("task %s was started %d times", task, n)
	}
	starts := map[string]bool{}
	for _, wo := range ca.de.workers {
		for task := range wo.StartCounts() {
			starts[task] = true
		}
	}
	ca.mu.Lock()
	complete, notRun := ca.complete, ca.notRun
	ca.complete, ca.notRun = map[lovagejob.Key]int{}, nil
	ca.mu.Unlock()
	for key, tasks := range complete {
		for i := range tasks {
			if !starts[key.String()+"/"+strconv.Itoa(i)] {
				ca.violation("job %s is complete without a start of task %d", key, i)
			}
		}
	}
	for _, key := range notRun {
		for i := range ca.de.op.MaxTasks {
			if starts[key.String()+"/"+strconv.Itoa(i)] {
				ca.violation("job %s was answered as not run but its task %d was started", key, i)
			}
		}
	}
	ca.mu.Lock()
	defer ca.mu.Unlock()
	out := ca.violations
	if ca.violated > len(out) {
		out = append(out, fmt.Sprintf("and %d more", ca.violated-len(out)))
	}
	ca.violations, ca.violated = nil, 0
	return out
}
