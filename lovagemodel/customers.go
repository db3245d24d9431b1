package lovagemodel

import (
	"fmt"
	"time"

	"lovagestack/lovagepool"
)

// customerWorkers is the number of workers of each of the two customers.
const customerWorkers = 350

// customerLoad returns what the loads of the two customers have in common. Both have three data centres; the traffic per data centre is
// not stated beyond being uneven, the shares here load the largest one 1.5 times as much as the mean.
func customerLoad(workers int, rate float64) Load {
	return Load{
		Owners: 3, Workers: workers, Duration: 25 * time.Second, ArrivalEnd: 22 * time.Second,
		RateScale:    rate * float64(workers) / customerWorkers,
		OwnerShares:  []float64{0.5, 0.3, 0.2},
		PoolSettings: lovagepool.DefaultSettings(), SlackFactor: 1.6, TargetLatency: 60 * time.Millisecond,
		MeanTimeout: 2400 * time.Millisecond, TimeoutSpread: 500.0 / 2400, // X-Deadline-Ms of 1,900 to 2,900
		MaxCoresFactor: 1.5, PairedRunTimes: true,
	}
}

// JobBoardLoad returns the load of the job boards at the given multiple of their rate. With fewer than their 350 workers, the rate
// shrinks in proportion.
func JobBoardLoad(workers int, rate float64) Load {
	lo := customerLoad(workers, rate)
	lo.Classes = []Class{
		{"posting-search", 206, 8, 60 * time.Millisecond, 8000, 0.00485, 0, 2},
		{"resume-match", 37.5, 4, 900 * time.Millisecond, 8000, 0.0267, 2, 4},
		{"apply-submit", 600, 2, 200 * time.Millisecond, 8000, 0.00167, 1, 2},
	}
	lo.WorkerSpeeds, lo.WorkerSizes = []float64{0.7, 0.7, 1.7}, []float64{0.5, 0.5, 0.75}
	return lo
}

// WindFarmLoad returns the load of the wind farms, as JobBoardLoad does. Their workers are of one size, and their speeds are not stated.
func WindFarmLoad(workers int, rate float64) Load {
	lo := customerLoad(workers, rate)
	lo.Classes = []Class{
		{"vib-alerta", 181, 8, 51 * time.Millisecond, 32000, 0.00485, 0, 2},
		{"curva-pot", 33, 4, 760 * time.Millisecond, 32000, 0.0267, 2, 4},
		{"yaw-falla", 528, 2, 170 * time.Millisecond, 32000, 0.00167, 1, 2},
	}
	lo.WorkerSpeeds, lo.WorkerSizes = []float64{1}, []float64{2}
	lo.SlowRunShare, lo.SlowRunFactor = 0.03, 7
	return lo
}

// WithOverload returns the load with its rate multiplied for 9 s.
func (lo Load) WithOverload(factor float64) Load {
	lo.Bursts = []Burst{{Start: 5 * time.Second, Duration: 9 * time.Second, Factor: factor}}
	return lo
}

// CustomerScenarios returns the loads of the two customers: sustained at 1, 1.5, 2 and 3 times their rate, and for 9 s at 1.5 to 3
// times. The last of each customer is a day on which workers are also slow or taken away.
func CustomerScenarios(workers int) []Scenario {
	var list []Scenario
	for _, customer := range []struct {
		name string
		load func(workers int, rate float64) Load
	}{{"boards", JobBoardLoad}, {"farms", WindFarmLoad}} {
		for _, rate := range []float64{1, 1.5, 2, 3} {
			list = append(list, Scenario{fmt.Sprintf("%s %g", customer.name, rate), customer.load(workers, rate)})
		}
		for _, factor := range []float64{1.5, 2, 3} {
			list = append(list, Scenario{fmt.Sprintf("%s %g for 9 s", customer.name, factor), customer.load(workers, 1).WithOverload(factor)})
		}
		faults := customer.load(workers, 2)
		faults.Faults = []Fault{
			{Kind: FaultCrash, Start: time.Second, Duration: 24 * time.Second, WorkerShare: 0.2}, // 70 of 350
			{Kind: FaultSlow, Start: 6 * time.Second, Duration: 8 * time.Second, WorkerShare: 0.1},
		}
		list = append(list, Scenario{customer.name + " 2, faults", faults})
	}
	return list
}
