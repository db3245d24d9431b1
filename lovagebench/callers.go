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
	keyBatchSize        = 200 // keys per mint request
	refillThreshold     = 100 // remaining keys at which the next batch is requested
	retryInterval       = 100 * time.Millisecond
	retryTimeout        = 20 * time.Second // how long a job without a final answer is resubmitted
	newKeyAfter         = 3                // submissions without a final outcome after which a repeatable job gets a new key
	maxListedViolations = 20               // further violations are only counted
	noInstance          = -1
)

// callers implements lovageload.Target. It simulates many callers of one deployment. A caller takes a key that was
// minted ahead of time and sends the job to the instance that minted the key or, if randomInstance is set, to a random
// one. With Variant.OwnerAddress, the client uses the address of the key's owner instead. With Variant.NoKey,
// repeatable jobs are sent without a key, so cancelAllJobs cannot cancel them. Callers resubmit jobs without a final
// answer, usually to another instance.
type callers struct {
	de             *deployment
	randomInstance bool

	roundRobin    atomic.Uint64
	submissions   atomic.Int64 // jobs submitted
	resubmissions atomic.Int64

	mu                 sync.Mutex
	rng                *rand.Rand
	keys               map[keySource][]lovagejob.Key
	refilling          map[keySource]bool
	issuers            map[lovagejob.Key]int // index of the minting instance, for keys returned by Mint and of jobs in progress
	notRunKeys         []lovagejob.Key
	completeTaskCounts map[lovagejob.Key]int // number of tasks of each complete job
	violations         []string
	violationCount     int
	singleTask         SingleTaskStats
	reasonCounts       map[string]int // number of answers that are not complete, by outcome and reason
}

// SingleTaskStats breaks down the response time of complete jobs with one task. Wait and Slow are means of times
// divided by the run time on the fastest worker. If the fastest workers always have a free slot, Wait+Slow+1 is about
// mean response over ideal.
type SingleTaskStats struct {
	Jobs int     `json:"jobs"`
	Wait float64 `json:"wait"` // time without the run time: queue, network and processing
	Slow float64 `json:"slow"` // additional run time because the worker is slower than the fastest
}

// keySource is an instance, by index, and the kind of keys that it mints.
type keySource struct {
	instance   int
	repeatable bool
}

func newCallers(de *deployment) *callers {
	return &callers{
		de: de, randomInstance: de.va.RandomInstance, rng: rand.New(rand.NewPCG(de.op.Seeds[0], 7)),
		keys: map[keySource][]lovagejob.Key{}, refilling: map[keySource]bool{}, issuers: map[lovagejob.Key]int{},
		completeTaskCounts: map[lovagejob.Key]int{}, reasonCounts: map[string]int{},
	}
}

// mintInitialKeys mints a first batch of both kinds of keys on every instance.
func (ca *callers) mintInitialKeys(ctx context.Context) error {
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
		Count: keyBatchSize, Repeatable: ks.repeatable,
	})
	ca.mu.Lock()
	defer ca.mu.Unlock()
	ca.refilling[ks] = false
	ca.keys[ks] = append(ca.keys[ks], mi.Keys...)
	return err
}

// takeKey returns a key of the next live instance, round-robin, and the index of the instance.
func (ca *callers) takeKey(ctx context.Context, repeatable bool) (lovagejob.Key, int, error) {
	for range 2 * len(ca.de.instances) {
		ks := keySource{int(ca.roundRobin.Add(1) % uint64(len(ca.de.instances))), repeatable}
		if ca.de.instances[ks.instance].killed.Load() {
			continue
		}
		if key, ok := ca.popKey(ctx, ks); ok {
			return key, ks.instance, nil
		}
		if ca.mintBatch(ctx, ks) == nil {
			if key, ok := ca.popKey(ctx, ks); ok {
				return key, ks.instance, nil
			}
		}
	}
	return lovagejob.Key{}, 0, errors.New("no instance mints keys")
}

func (ca *callers) popKey(ctx context.Context, ks keySource) (lovagejob.Key, bool) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	keys := ca.keys[ks]
	if len(keys) <= refillThreshold && !ca.refilling[ks] {
		ca.refilling[ks] = true
		go (&refill{ca, ks}).run(context.WithoutCancel(ctx))
	}
	if len(keys) == 0 {
		return lovagejob.Key{}, false
	}
	ca.keys[ks] = keys[1:]
	ca.issuers[keys[0]] = ks.instance
	return keys[0], true
}

// refill mints a batch of keys in the background.
type refill struct {
	ca *callers
	ks keySource
}

func (re *refill) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	_ = re.ca.mintBatch(ctx, re.ks) // if this fails, takeKey mints when it finds no key
}

// Mint implements lovageload.Target.
func (ca *callers) Mint(ctx context.Context, repeatable bool) (lovagejob.Key, error) {
	key, _, err := ca.takeKey(ctx, repeatable)
	return key, err
}

// Cancel implements lovageload.Target.
func (ca *callers) Cancel(ctx context.Context, key lovagejob.Key) error {
	ca.mu.Lock()
	issuer, ok := ca.issuers[key]
	ca.mu.Unlock()
	if !ok {
		return nil // the job has been answered
	}
	_, err := ca.de.instances[issuer].client.Cancel(ctx, key.String())
	return err
}

// cancelAllJobs starts to cancel every job in progress with a known key, and returns the number of jobs.
func (ca *callers) cancelAllJobs(ctx context.Context) int {
	ca.mu.Lock()
	keys := make([]lovagejob.Key, 0, len(ca.issuers))
	for key := range ca.issuers {
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

func (cn *cancellation) run(ctx context.Context) { _ = cn.ca.Cancel(ctx, cn.key) } // the job's answer shows the effect

// Submit implements lovageload.Target.
func (ca *callers) Submit(ctx context.Context, sub *lovagejob.Submission) (lovagejob.Answer, error) {
	key, issuer := sub.Key, 0
	var err error
	noKey := ca.de.va.NoKey && sub.Repeatable && key.IsZero()
	switch {
	case noKey:
	case key.IsZero():
		if key, issuer, err = ca.takeKey(ctx, sub.Repeatable); err != nil {
			return lovagejob.Answer{}, err
		}
	default:
		ca.mu.Lock()
		issuer = ca.issuers[key]
		ca.mu.Unlock()
	}
	dst := issuer
	if ca.randomInstance {
		dst = ca.otherInstance(noInstance)
	}
	request, err := ca.jobRequest(sub, key)
	if err != nil {
		return lovagejob.Answer{}, err
	}
	defer func() { ca.removeIssuer(key) }()
	ca.submissions.Add(1)
	for deadline, tries := time.Now().Add(retryTimeout), 1; ; tries++ {
		sent := time.Now()
		reply, err := ca.de.instances[dst].client.Submit(ctx, request)
		if err == nil && noKey {
			key, noKey = reply.Key, false
			request.Key = key.String()
		}
		if err == nil {
			ca.recordSingleTask(&reply, time.Since(sent))
			ca.checkAnswer(key, &reply, len(sub.Tasks))
		}
		var re *lovageapi.ReplyError
		if err == nil && reply.Outcome.Final() || errors.As(err, &re) && isFinalStatus(re.Status) || time.Now().After(deadline) {
			return lovagejob.Answer{Key: key, Outcome: reply.Outcome, Reason: reply.Reason}, err
		}
		if !sleep(ctx, retryInterval) {
			return lovagejob.Answer{}, ctx.Err()
		}
		if sub.Repeatable && err == nil && tries%newKeyAfter == 0 {
			ca.removeIssuer(key)
			if key, dst, err = ca.takeKey(ctx, true); err != nil {
				return lovagejob.Answer{}, err
			}
			request.Key = key.String()
		} else {
			dst = ca.otherInstance(dst)
		}
		ca.resubmissions.Add(1)
	}
}

func (ca *callers) removeIssuer(key lovagejob.Key) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	delete(ca.issuers, key)
}

// otherInstance returns the index of a random live instance other than except.
func (ca *callers) otherInstance(except int) int {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	for {
		if i := ca.rng.IntN(len(ca.de.instances)); i != except && !ca.de.instances[i].killed.Load() {
			return i
		}
	}
}

// jobRequest converts the generated payloads to those of the stand-in workers.
func (ca *callers) jobRequest(sub *lovagejob.Submission, key lovagejob.Key) (lovageapi.JobRequest, error) {
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

// checkAnswer records an answer's violations and reason, and the job for checkStarts.
func (ca *callers) checkAnswer(key lovagejob.Key, reply *lovageapi.AnswerReply, tasks int) {
	if reply.Outcome != lovagejob.Complete && len(reply.Results) > 0 {
		ca.addViolation("job %s is %s and has %d results", key, reply.Outcome, len(reply.Results))
	}
	ca.mu.Lock()
	if reply.Outcome != lovagejob.Complete {
		ca.reasonCounts[fmt.Sprintf("%s: %s", reply.Outcome, numberPattern.ReplaceAllString(reply.Reason, "N"))]++
	}
	switch reply.Outcome {
	case lovagejob.NotRun:
		ca.notRunKeys = append(ca.notRunKeys, key)
	case lovagejob.Complete:
		ca.completeTaskCounts[key] = tasks
	}
	ca.mu.Unlock()
	if reply.Outcome != lovagejob.Complete || len(reply.Results) == 0 {
		return // the answer to a resubmission may contain only the outcome
	}
	if len(reply.Results) != tasks {
		ca.addViolation("job %s is complete with %d results for %d tasks", key, len(reply.Results), tasks)
	}
	for i := range reply.Results {
		var body struct{ Task string }
		want := key.String() + "/" + strconv.Itoa(i)
		if json.Unmarshal(reply.Results[i].Body, &body) != nil || body.Task != want || reply.Results[i].Task != i {
			ca.addViolation("result %d of job %s is that of task %q", i, key, body.Task)
		}
	}
}

// recordSingleTask adds the answer to ca.singleTask. The result of a stand-in worker contains the run time.
func (ca *callers) recordSingleTask(reply *lovageapi.AnswerReply, response time.Duration) {
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
	runTime := time.Duration(body.RunTime).Seconds()
	fastest := runTime * ca.de.speedOf(body.Worker) / slices.Max(workerSpeeds)
	ca.mu.Lock()
	defer ca.mu.Unlock()
	ca.singleTask.Jobs++
	ca.singleTask.Wait += (response.Seconds() - runTime) / fastest
	ca.singleTask.Slow += (runTime - fastest) / fastest
}

// numberPattern matches numbers in reasons. checkAnswer masks the numbers, to count reasons that differ only in numbers
// together.
var numberPattern = regexp.MustCompile(`[0-9][0-9.:]*`)

// takeReasons returns and resets the counts of reasons.
func (ca *callers) takeReasons() map[string]int {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	out := ca.reasonCounts
	ca.reasonCounts = map[string]int{}
	return out
}

// takeSingleTask returns and resets the statistics since the last call.
func (ca *callers) takeSingleTask() SingleTaskStats {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	out := ca.singleTask
	ca.singleTask = SingleTaskStats{}
	out.Wait /= float64(max(1, out.Jobs))
	out.Slow /= float64(max(1, out.Jobs))
	return out
}

func (ca *callers) addViolation(format string, args ...any) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	ca.violationCount++
	if len(ca.violations) < maxListedViolations {
		ca.violations = append(ca.violations, fmt.Sprintf(format, args...))
	}
}

// checkStarts compares the starts that the workers recorded with the answers since the last call. No task may start
// twice, each task of a complete job must start, and no task of a job answered as "not run" may start. It returns the
// violations since the last call, including those of checkAnswer.
func (ca *callers) checkStarts() []string {
	for task, n := range lovagefake.DuplicateStarts(ca.de.workers...) {
		ca.addViolation("task %s was started %d times", task, n)
	}
	starts := map[string]bool{}
	for _, wo := range ca.de.workers {
		for task := range wo.StartCounts() {
			starts[task] = true
		}
	}
	ca.mu.Lock()
	complete, notRun := ca.completeTaskCounts, ca.notRunKeys
	ca.completeTaskCounts, ca.notRunKeys = map[lovagejob.Key]int{}, nil
	ca.mu.Unlock()
	for key, tasks := range complete {
		for i := range tasks {
			if !starts[key.String()+"/"+strconv.Itoa(i)] {
				ca.addViolation("job %s is complete without a start of task %d", key, i)
			}
		}
	}
	for _, key := range notRun {
		for i := range ca.de.op.MaxTasks {
			if starts[key.String()+"/"+strconv.Itoa(i)] {
				ca.addViolation("job %s was answered as not run but its task %d was started", key, i)
			}
		}
	}
	ca.mu.Lock()
	defer ca.mu.Unlock()
	out := ca.violations
	if ca.violationCount > len(out) {
		out = append(out, fmt.Sprintf("and %d more", ca.violationCount-len(out)))
	}
	ca.violations, ca.violationCount = nil, 0
	return out
}
