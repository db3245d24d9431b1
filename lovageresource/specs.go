package lovageresource

import (
	"fmt"
	"net/netip"
	"time"

	"lovagestack/lovageconfig"
)

// DefaultName is the name of the only configuration that instances read.
const DefaultName = "default"

// Duration is a time.Duration whose JSON and TOML form is a string such as "250ms".
type Duration = lovageconfig.Duration

// Service is a kind of task that workers run.
type Service struct {
	RunTime     Duration `json:"runTime"`     // estimate of a task's run time until measurements exist; required
	QueuedTasks int      `json:"queuedTasks"` // maximum number of queued tasks per instance; default 50000
	RetryBudget float64  `json:"retryBudget"` // retries per started task, 0 to 1; default 0.1
	MaxRunTime  Duration `json:"maxRunTime"`  // a task that runs longer is stopped; default 30s
}

// DefaultService returns the values of fields that a declaration does not set.
func DefaultService() Service {
	return Service{
		QueuedTasks: 50_000, RetryBudget: 0.1, MaxRunTime: Duration(30 * time.Second),
	}
}

// Kind returns KindService.
func (Service) Kind() Kind { return KindService }

func (sp Service) check(report func(field, format string, args ...any)) {
	checkDuration(report, "runTime", sp.RunTime, time.Microsecond, time.Hour)
	checkDuration(report, "maxRunTime", sp.MaxRunTime, time.Millisecond, time.Hour)
	if sp.RunTime > sp.MaxRunTime {
		report("runTime", "%s is longer than maxRunTime, which is %s", sp.RunTime, sp.MaxRunTime)
	}
	checkRange(report, "queuedTasks", int64(sp.QueuedTasks), 1, maxCount)
	checkFraction(report, "retryBudget", sp.RetryBudget)
}

// Pool is a set of workers in one data centre that offer the same services.
type Pool struct {
	DataCentre string `json:"dataCentre"`
	// Pools of different regions never share a decision domain. Pools without a region form one region of their own.
	Region   string   `json:"region,omitempty"`
	Services []string `json:"services"` // names of the services that every worker of the pool can run
	Workers  []Worker `json:"workers"`
}

// Worker is one backend server.
type Worker struct {
	ID           string         `json:"id"`                     // unique among all pools
	Address      netip.AddrPort `json:"address"`                // IP address and port
	Slots        int            `json:"slots"`                  // maximum number of running tasks
	Connections  int            `json:"connections"`            // maximum number of connections from all instances
	Cores        int64          `json:"cores,omitempty"`        // 0 if not declared
	MemoryBytes  int64          `json:"memoryBytes,omitempty"`  // 0 if not declared
	Accelerators int64          `json:"accelerators,omitempty"` // 0 if none
	Rack         string         `json:"rack,omitempty"`
}

// Kind returns KindPool.
func (Pool) Kind() Kind { return KindPool }

func (sp Pool) check(report func(field, format string, args ...any)) {
	checkName(report, "dataCentre", sp.DataCentre)
	if sp.Region != "" {
		checkName(report, "region", sp.Region)
	}
	if len(sp.Services) == 0 {
		report("services", "needs at least one service")
	}
	services := map[string]bool{}
	for i, name := range sp.Services {
		field := fmt.Sprintf("services[%d]", i)
		checkName(report, field, name)
		if services[name] {
			report(field, "%q occurs twice", name)
		}
		services[name] = true
	}
	ids, addresses := map[string]bool{}, map[netip.AddrPort]bool{}
	for i, wo := range sp.Workers {
		reportWorker := func(field, format string, args ...any) {
			report(fmt.Sprintf("workers[%d].%s", i, field), format, args...)
		}
		wo.check(reportWorker)
		if ids[wo.ID] {
			reportWorker("id", "%q occurs twice", wo.ID)
		}
		if addresses[wo.Address] && wo.Address.IsValid() {
			reportWorker("address", "%s occurs twice", wo.Address)
		}
		ids[wo.ID], addresses[wo.Address] = true, true
	}
}

func (wo *Worker) check(report func(field, format string, args ...any)) {
	checkName(report, "id", wo.ID)
	if !wo.Address.IsValid() || wo.Address.Port() == 0 || wo.Address.Addr().IsUnspecified() {
		report("address", "needs an IP address and a port that can be connected to")
	}
	checkRange(report, "slots", int64(wo.Slots), 1, 1<<16)
	checkRange(report, "connections", int64(wo.Connections), 1, 1<<16)
	checkRange(report, "cores", wo.Cores, 0, 1<<16)
	checkRange(report, "memoryBytes", wo.MemoryBytes, 0, 1<<50)
	checkRange(report, "accelerators", wo.Accelerators, 0, 1<<16)
	if wo.Rack != "" {
		checkName(report, "rack", wo.Rack)
	}
}

// Team is a group of callers with a share of the capacity.
type Team struct {
	Weight       float64 `json:"weight"`                 // share relative to other teams; default 1
	RunningTasks int     `json:"runningTasks,omitempty"` // quota in the whole deployment; 0: no quota
	QueuedTasks  int     `json:"queuedTasks,omitempty"`  // quota per instance; 0: Admission.QueuedTasks applies
}

// DefaultTeam returns the values of fields that a declaration does not set.
func DefaultTeam() Team { return Team{Weight: 1} }

// Kind returns KindTeam.
func (Team) Kind() Kind { return KindTeam }

func (sp Team) check(report func(field, format string, args ...any)) {
	if !(sp.Weight >= 0.001 && sp.Weight <= 1000) { // so that the virtual times of teams do not diverge too far
		report("weight", "%v is not between 0.001 and 1000", sp.Weight)
	}
	checkRange(report, "runningTasks", int64(sp.RunningTasks), 0, maxCount)
	checkRange(report, "queuedTasks", int64(sp.QueuedTasks), 0, maxCount)
}

// maxCount is the upper limit of task counts and of domainSlots.
const maxCount = 1 << 30

func checkDuration(report func(field, format string, args ...any), field string, value Duration, lo, hi time.Duration) {
	if time.Duration(value) < lo || time.Duration(value) > hi {
		report(field, "%s is not between %s and %s", value, lo, hi)
	}
}

func checkRange(report func(field, format string, args ...any), field string, value, lo, hi int64) {
	if value < lo || value > hi {
		report(field, "%d is not between %d and %d", value, lo, hi)
	}
}

func checkFraction(report func(field, format string, args ...any), field string, value float64) {
	if !(value >= 0 && value <= 1) {
		report(field, "%v is not between 0 and 1", value)
	}
}
