package lovageresource

import (
	"time"

	"lovagestack/lovagedomain"
)

// Configuration holds the values that operators may tune at run time.
type Configuration struct {
	KeyLifetime     Duration  `json:"keyLifetime"`     // a key older than this is never started; default 15m
	AnswerRetention Duration  `json:"answerRetention"` // full answers are kept this long after the end; default 60s
	Admission       Admission `json:"admission"`
	Ejection        Ejection  `json:"ejection"`
	// DomainSlots is the number of slots above which pools with common services are split into several decision domains;
	// default 4096.
	DomainSlots int `json:"domainSlots"`
}

// Admission tunes which jobs are refused at once.
type Admission struct {
	QueuedTasks int `json:"queuedTasks"` // bound per instance for a service or team without its own; default 100000
}

// Ejection tunes when a worker that was ejected because of its outcomes is probed.
type Ejection struct {
	BackOff    Duration `json:"backOff"`    // until the first probe; doubles with each failed probe; default 1s
	MaxBackOff Duration `json:"maxBackOff"` // default 1m
}

// DefaultConfiguration returns the values in force without a declared configuration. The figures of admission and
// ejection are those of lovagedispatch.DefaultSettings, domainSlots is lovagedomain.DefaultDomainSlots, the others are
// those of the design page, section 5.
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

func (sp Configuration) check(add func(field, format string, args ...any)) {
	checkDuration(add, "keyLifetime", sp.KeyLifetime, time.Minute, time.Hour)
	checkDuration(add, "answerRetention", sp.AnswerRetention, 0, time.Hour)
	if sp.AnswerRetention > sp.KeyLifetime {
		add("answerRetention", "%s is longer than keyLifetime, which is %s", sp.AnswerRetention, sp.KeyLifetime)
	}
	checkRange(add, "admission.queuedTasks", int64(sp.Admission.QueuedTasks), 1, maxCount)
	checkDuration(add, "ejection.backOff", sp.Ejection.BackOff, time.Millisecond, time.Hour)
	checkDuration(add, "ejection.maxBackOff", sp.Ejection.MaxBackOff, time.Millisecond, time.Hour)
	if sp.Ejection.BackOff > sp.Ejection.MaxBackOff {
		add("ejection.backOff", "%s is longer than maxBackOff, which is %s", sp.Ejection.BackOff, sp.Ejection.MaxBackOff)
	}
	checkRange(add, "domainSlots", int64(sp.DomainSlots), 1, maxCount)
}
