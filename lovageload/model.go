package lovageload

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cockroachdb/errors"

	"lovagestack/lovagejob"
)

// Service is a service of a workload. Run times on a worker of speed 1 are log-uniform from MinRunTime to MaxRunTime.
type Service struct {
	Name, Team             string
	Weight                 float64 // share of the jobs, relative to the other weights
	MinRunTime, MaxRunTime time.Duration
	Repeatable             bool
}

// Model describes a random workload. Equal models, seed included, generate equal jobs.
type Model struct {
	Seed     uint64
	Rate     float64 // mean jobs per second outside bursts
	Duration time.Duration
	Burst    Burst
	Services []Service

	MaxTasks            int // a job has n tasks, 1 <= n <= MaxTasks, with probability proportional to n^-TaskCountExponent
	TaskCountExponent   float64
	DeclaredErrorFactor float64 // declared run times are too long or too short by up to this factor, log-uniform

	StragglerShare  float64 // fraction of the tasks that are stragglers
	StragglerFactor float64 // multiplies the run time of a straggler

	CancelShare float64       // fraction of the jobs that are cancelled
	CancelAfter time.Duration // the delay from the send time to the cancellation is uniform in 0 to CancelAfter
	Deadline    time.Duration // deadline of a job, from its intended send time
}

// Burst multiplies the rate by Factor during the last Length of each Period. The zero Burst means no bursts.
type Burst struct {
	Period, Length time.Duration
	Factor         float64
}

// DefaultModel returns a model of the users' workload. Most tasks take 50 ms to 1 s and a few take several seconds. Jobs
// have up to 350 tasks; most jobs are small. Declared run times are wrong by a factor of up to ten. 1% of the tasks are
// stragglers and 1% of the jobs are cancelled. The distributions within these bounds are assumptions.
func DefaultModel(seed uint64) Model {
	ms := time.Millisecond
	return Model{
		Seed: seed, Rate: 10, Duration: time.Minute,
		Services: []Service{
			{Name: "stock", Team: "shops", Weight: 0.30, MinRunTime: 50 * ms, MaxRunTime: 150 * ms, Repeatable: true},
			{Name: "price", Team: "shops", Weight: 0.30, MinRunTime: 80 * ms, MaxRunTime: 400 * ms, Repeatable: true},
			{Name: "ticket", Team: "gate", Weight: 0.25, MinRunTime: 100 * ms, MaxRunTime: time.Second},
			{Name: "proof", Team: "press", Weight: 0.13, MinRunTime: 300 * ms, MaxRunTime: time.Second, Repeatable: true},
			{Name: "reorder", Team: "press", Weight: 0.02, MinRunTime: 2 * time.Second, MaxRunTime: 8 * time.Second},
		},
		MaxTasks: 350, TaskCountExponent: 1.8, DeclaredErrorFactor: 10,
		StragglerShare: 0.01, StragglerFactor: 4,
		CancelShare: 0.01, CancelAfter: 500 * ms,
		Deadline: time.Minute,
	}
}

// Task is one task of a generated job.
type Task struct {
	RunTime  time.Duration // run time on a worker of speed 1, without Slowdown
	Slowdown float64       // multiplies RunTime: Model.StragglerFactor for stragglers, else 1
}

// Work returns the run time of the task on a worker of speed 1, slowdown included.
func (ta Task) Work() time.Duration { return time.Duration(float64(ta.RunTime) * ta.Slowdown) }

// Job is one generated job.
type Job struct {
	SendAt          time.Duration // intended send time, from the start of the run
	Service, Team   string
	Repeatable      bool
	DeclaredRunTime time.Duration
	Deadline        time.Duration // from the start of the run
	CancelAt        time.Duration // from the start of the run; 0 if the job is not cancelled
	Tasks           []Task
}

// Payload is the JSON payload of a generated task. The run time is WorkMillis divided by the worker's speed.
type Payload struct {
	WorkMillis float64 `json:"workMillis"`
}

// Submission returns the submission of the job in a load run that started at start.
func (jo *Job) Submission(start time.Time) (*lovagejob.Submission, error) {
	sub := &lovagejob.Submission{
		Service: jo.Service, Team: jo.Team, Repeatable: jo.Repeatable,
		Deadline: start.Add(jo.Deadline), DeclaredRunTime: jo.DeclaredRunTime,
		Tasks: make([]lovagejob.Task, len(jo.Tasks)),
	}
	for i, ta := range jo.Tasks {
		payload, err := json.Marshal(Payload{WorkMillis: float64(ta.Work()) / float64(time.Millisecond)})
		if err != nil {
			return nil, errors.Wrap(err, "encode the payload of a task")
		}
		sub.Tasks[i].Payload = payload
	}
	return sub, nil
}

// Work returns the total run time of the tasks on a worker of speed 1.
func (jo *Job) Work() time.Duration {
	var sum time.Duration
	for _, ta := range jo.Tasks {
		sum += ta.Work()
	}
	return sum
}

// Validate returns an error if the model is invalid.
func (mo *Model) Validate() error {
	var sum float64
	for _, se := range mo.Services {
		if se.Weight < 0 || se.MinRunTime <= 0 || se.MaxRunTime < se.MinRunTime {
			return errors.Newf("service %q needs a weight of at least 0 and run times 0 < min <= max", se.Name)
		}
		sum += se.Weight
	}
	switch {
	case sum <= 0:
		return errors.New("the weights of the services sum to zero")
	case mo.Rate <= 0 || mo.Duration <= 0:
		return errors.Newf("rate %g and duration %s must be positive", mo.Rate, mo.Duration)
	case mo.MaxTasks < 1:
		return errors.Newf("the maximum number of tasks per job must be at least 1, got %d", mo.MaxTasks)
	case mo.DeclaredErrorFactor < 1 || mo.StragglerFactor < 1:
		return errors.New("the factors for declared run times and stragglers must be at least 1")
	case mo.Burst.Period < 0 || mo.Burst.Length < 0 || mo.Burst.Length > mo.Burst.Period || mo.Burst.Factor < 0:
		return errors.New("a burst must have 0 <= length <= period and a factor of at least 0")
	}
	return nil
}

// Jobs generates the jobs, ordered by send time.
func (mo *Model) Jobs() ([]Job, error) {
	if err := mo.Validate(); err != nil {
		return nil, err
	}
	// Arrivals have their own random source, so that a change of the job mix does not change the send times.
	times := arrivals(rand.New(rand.NewPCG(mo.Seed, 1)), mo.Rate, mo.Burst, mo.Duration)
	jg := mo.newJobGenerator(rand.New(rand.NewPCG(mo.Seed, 2)))
	jobs := make([]Job, len(times))
	for i, at := range times {
		jobs[i] = jg.generate(at)
	}
	return jobs, nil
}

type jobGenerator struct {
	model            *Model
	rng              *rand.Rand
	serviceWeights   []float64 // cumulative weights of the services
	taskCountWeights []float64 // cumulative weights of the task counts 1, 2, ...
}

func (mo *Model) newJobGenerator(rng *rand.Rand) *jobGenerator {
	jg := &jobGenerator{model: mo, rng: rng}
	var sum float64
	for _, se := range mo.Services {
		sum += se.Weight
		jg.serviceWeights = append(jg.serviceWeights, sum)
	}
	sum = 0
	for n := 1; n <= mo.MaxTasks; n++ {
		sum += math.Pow(float64(n), -mo.TaskCountExponent)
		jg.taskCountWeights = append(jg.taskCountWeights, sum)
	}
	return jg
}

// pick returns a random index, weighted by cumulative weights.
func (jg *jobGenerator) pick(cumulative []float64) int {
	at := jg.rng.Float64() * cumulative[len(cumulative)-1]
	return min(sort.SearchFloat64s(cumulative, at), len(cumulative)-1)
}

// logUniform returns a log-uniform factor between 1/maxFactor and maxFactor.
func (jg *jobGenerator) logUniform(maxFactor float64) float64 {
	return math.Pow(maxFactor, 2*jg.rng.Float64()-1)
}

func (jg *jobGenerator) generate(at time.Duration) Job {
	mo := jg.model
	se := mo.Services[jg.pick(jg.serviceWeights)]
	jo := Job{
		SendAt: at, Service: se.Name, Team: se.Team, Repeatable: se.Repeatable, Deadline: at + mo.Deadline,
		Tasks: make([]Task, jg.pick(jg.taskCountWeights)+1),
	}
	var sum time.Duration
	for i := range jo.Tasks {
		ta := Task{Slowdown: 1}
		spread := float64(se.MaxRunTime) / float64(se.MinRunTime)
		ta.RunTime = time.Duration(float64(se.MinRunTime) * math.Pow(spread, jg.rng.Float64()))
		if jg.rng.Float64() < mo.StragglerShare {
			ta.Slowdown = mo.StragglerFactor
		}
		jo.Tasks[i] = ta
		sum += ta.RunTime
	}
	jo.DeclaredRunTime = time.Duration(float64(sum) / float64(len(jo.Tasks)) * jg.logUniform(mo.DeclaredErrorFactor))
	if jg.rng.Float64() < mo.CancelShare {
		jo.CancelAt = at + time.Duration(jg.rng.Float64()*float64(mo.CancelAfter)) + 1
	}
	return jo
}

// meanWorkSample is the number of jobs that MeanWork samples. The mean of the default model then varies by about 2%
// between seeds, because a few jobs contain much of the work.
const meanWorkSample = 100_000

// MeanWork returns the mean work of a job on a worker of speed 1, from a sample. Cancelled jobs count in full.
func (mo *Model) MeanWork() time.Duration {
	jg := mo.newJobGenerator(rand.New(rand.NewPCG(mo.Seed, 3)))
	var sum float64
	for range meanWorkSample {
		jo := jg.generate(0)
		sum += jo.Work().Seconds()
	}
	return time.Duration(sum / meanWorkSample * float64(time.Second))
}

// RateForLoad returns the rate, in jobs per second outside bursts, at which the work is the fraction load of the workers'
// capacity.
func (mo *Model) RateForLoad(load float64, workers []Worker) float64 {
	var capacity float64
	for _, wo := range workers {
		capacity += wo.Speed * float64(wo.Slots)
	}
	return load * capacity / mo.MeanWork().Seconds()
}
