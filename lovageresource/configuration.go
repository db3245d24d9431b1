package lovageresource

import (
	"time"

	"lovagestack/lovagedomain"
)

// Configuration holds the values that operators may tune at run time.
type Configuration struct {
	KeyLifetime     Duration  `json:"keyLifetime"`     // a job whose key is older than this is never started; default 15m
	AnswerRetention Duration  `json:"answerRetention"` // how long full answers are kept after a job's end; default 60s
	Admission       Admission `json:"admission"`
	Ejection        Ejection  `json:"ejection"`
	// DomainSlots is the number of slots above which pools with common services are split into several decision domains;
	// default 4096.
	DomainSlots int `json:"domainSlots"`
}

// Admission limits how many tasks are queued; jobs beyond the limit are refused at once.
type Admission struct {
	QueuedTasks int `json:"queuedTasks"` // limit per instance, for a service or team without its own limit; default 100000
}

// Ejection sets when a worker that was ejected because of its tasks' outcomes is probed.
type Ejection struct {
	BackOff    Duration `json:"backOff"`    // time until the first probe; doubles with each failed probe; default 1s
	MaxBackOff Duration `json:"maxBackOff"` // longest time between probes; default 1m
}

// DefaultConfiguration returns the values that apply when no configuration is declared. Admission and Ejection match
// lovagedispatch.DefaultSettings; KeyLifetime and AnswerRetention are those of the design page, section 5.
func DefaultConfiguration() Configuration {
	return Configuration{
		KeyLifetime:     Duration(15 * time.Minute),
		AnswerRetention: Duration(time.Minute),
		Admission:       Admission{QueuedTasks: 100_000},
		Ejection:        Ejection{BackOff: Duration(time.Second), MaxBackOff: Duration(time.Minute)},
		DomainSlots:     lovagedomain.DefaultDomainSlots,
	}
}

// Kind returns KindConfiguration.
func (Configuration) Kind() Kind { return KindConfiguration }

func (sp Configuration) check(report func(field, format string, args ...any)) {
	checkDuration(report, "keyLifetime", sp.KeyLifetime, time.Minute, time.Hour)
	checkDuration(report, "answerRetention", sp.AnswerRetention, 0, time.Hour)
	if sp.AnswerRetention > sp.KeyLifetime {
		report("answerRetention", "%s is longer than keyLifetime, which is %s", sp.AnswerRetention, sp.KeyLifetime)
	}
	checkRange(report, "admission.queuedTasks", int64(sp.Admission.QueuedTasks), 1, maxCount)
	checkDuration(report, "ejection.backOff", sp.Ejection.BackOff, time.Millisecond, time.Hour)
	checkDuration(report, "ejection.maxBackOff", sp.Ejection.MaxBackOff, time.Millisecond, time.Hour)
	if sp.Ejection.BackOff > sp.Ejection.MaxBackOff {
		report("ejection.backOff", "%s is longer than maxBackOff, which is %s", sp.Ejection.BackOff, sp.Ejection.MaxBackOff)
	}
	checkRange(report, "domainSlots", int64(sp.DomainSlots), 1, maxCount)
}
