package lovagebench

import (
	"math"
	"time"

	"lovagestack/lovagedispatch"
	"lovagestack/lovageload"
)

// Variant is a dispatch policy and the way in which callers submit jobs to it.
type Variant struct {
	Name           string
	Policy         lovagedispatch.Policy
	RandomInstance bool // callers send each job to a random instance, as through a load balancer, and ignore owners' addresses
	OwnerAddress   bool // callers send each job to the address of its key's owner
	NoKey          bool // callers submit repeatable jobs without a key
	Baseline       bool // the chosen policy (first variant) must be better than this one in each row
}

// Variants returns the chosen policy with three kinds of callers, a policy without coordination, and the design's baselines.
func Variants() []Variant {
	return []Variant{
		{Name: "central", Policy: lovagedispatch.Central, OwnerAddress: true},
		{Name: "central, balancer", Policy: lovagedispatch.Central, RandomInstance: true},
		{Name: "central, no key", Policy: lovagedispatch.Central, RandomInstance: true, NoKey: true},
		{Name: "alone", Policy: lovagedispatch.Alone},
		{Name: "random", Policy: lovagedispatch.Random, Baseline: true},
		{Name: "roundRobin", Policy: lovagedispatch.RoundRobin, Baseline: true},
		{Name: "leastInFlight", Policy: lovagedispatch.LeastInFlight, Baseline: true},
	}
}

// Options are the size and length of a measurement.
type Options struct {
	Variants  []Variant
	Parallel  int // variants measured concurrently
	Loads     []float64
	Scenarios []Scenario
	Seeds     []uint64 // each load runs with each seed; the table shows medians

	WarmUp    time.Duration // warm-up of a deployment, at warmUpLoad
	RowWarmUp time.Duration // warm-up of a row
	Measured  time.Duration // time in which the jobs of a row are sent

	Workers                int // number of workers in all data centres
	InstancesPerDataCentre int
	Services               []lovageload.Service
	MaxTasks               int
	Latency                Latency
}

// warmUpLoad keeps all workers in use while the deployment learns speeds and run times.
const warmUpLoad = 0.7

// FullOptions returns the options for a deployment of the current size. The run takes about 8 minutes with one seed.
// Parallel is 3, because three deployments hold up to 15,000 file descriptors and the usual limit per process is
// 20,000.
func FullOptions() Options {
	return Options{
		Variants: Variants(), Parallel: 3, Loads: []float64{0.3, 0.6, 0.8, 0.95}, Scenarios: Scenarios(), Seeds: []uint64{1},
		WarmUp: 10 * time.Second, RowWarmUp: 2 * time.Second, Measured: 6 * time.Second,
		Workers: 48, InstancesPerDataCentre: 2, Services: services(), MaxTasks: 350, Latency: specifiedLatency(),
	}
}

// QuickOptions returns the options for a smoke test of a few seconds per row. Its times are not meaningful.
func QuickOptions() Options {
	op := FullOptions()
	op.Parallel, op.Loads = len(op.Variants), []float64{0.3, 0.6}
	op.WarmUp, op.RowWarmUp, op.Measured = time.Second, 500*time.Millisecond, 2*time.Second
	op.Workers = 12
	op.Services = op.Services[:len(op.Services)-1]
	return op
}

// services returns the services of lovageload.DefaultModel, with tasks of at most 4 s to keep rows short. Each row
// waits for its last task, and a straggler on a slow worker takes six times as long.
func services() []lovageload.Service {
	out := lovageload.DefaultModel(1).Services
	for i := range out {
		out[i].MaxRunTime = min(out[i].MaxRunTime, 4*time.Second)
	}
	return out
}

// maxRateAttempts bounds the search for the rate. Each attempt generates the jobs once.
const maxRateAttempts = 12

// model returns the workload of a row. load is a share of the workers' capacity. A few large jobs contain much of the work,
// so the work of 10 s at the mean rate varies by a factor of two between seeds. The rate is therefore chosen such that the
// jobs of this seed have the requested load.
func (op *Options) model(seed uint64, load float64, burst lovageload.Burst, workers []lovageload.Worker) (lovageload.Model, error) {
	mo := lovageload.DefaultModel(seed)
	mo.Services, mo.MaxTasks, mo.CancelShare = op.Services, op.MaxTasks, 0
	mo.Duration, mo.Burst = op.RowWarmUp+op.Measured, burst
	mo.Rate = mo.RateForLoad(load, workers)
	wantedWork := load * mo.Duration.Seconds()
	if burst.Period > 0 {
		wantedWork += load * (burst.Factor - 1) * burst.Length.Seconds()
	}
	bestDeviation, rate := math.Inf(1), mo.Rate
	for range maxRateAttempts {
		candidate := mo
		candidate.Rate = rate
		jobs, err := candidate.Jobs()
		if err != nil {
			return mo, err
		}
		generatedWork := totalWork(jobs) / workRate(workers)
		if deviation := math.Abs(math.Log(max(generatedWork, 1e-9) / wantedWork)); deviation < bestDeviation {
			bestDeviation, mo.Rate = deviation, rate
		}
		rate *= math.Pow(wantedWork/max(generatedWork, 1e-9), 0.7) // damped, because one large job can exceed the wanted work
	}
	return mo, nil
}

// totalWork returns the work of the jobs in seconds on a worker of speed 1.
func totalWork(jobs []lovageload.Job) float64 {
	var sum float64
	for i := range jobs {
		sum += jobs[i].Work().Seconds()
	}
	return sum
}

// workRate returns how many seconds of work at speed 1 the workers do per second.
func workRate(workers []lovageload.Worker) float64 {
	var sum float64
	for _, wo := range workers {
		sum += wo.Speed * float64(wo.Slots)
	}
	return sum
}
