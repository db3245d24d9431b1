package lovageresource

import "time"

// Configuration holds the values that operators may tune at run time.
type Configuration struct {
	KeyLifetime     Duration  `json:"keyLifetime"`     // a key older than this is never started; default 15m
	AnswerRetention Duration  `json:"answerRetention"` // full answers are kept this long after the end; default 60s
	Admission       Admission `json:"admission"`
	Ejection        Ejection  `json:"ejection"`
	Lending         Lending   `json:"lending"`
}

// Admission tunes which jobs are refused at once.
type Admission struct {
	CheckDeadline bool     `json:"checkDeadline"` // refuse jobs that cannot meet their deadline; default true
	RetryAfter    Duration `json:"retryAfter"`    // least retry time given with a refusal; default 100ms
}

// Ejection tunes when a worker gets no tasks because of its outcomes.
type Ejection struct {
	Failures   int      `json:"failures"`   // failures in a row that eject a worker; default 5
	BackOff    Duration `json:"backOff"`    // until the first probe; doubles with each failed probe; default 1s
	MaxBackOff Duration `json:"maxBackOff"` // default 30s
	MaxShare   float64  `json:"maxShare"`   // of a pool that may be ejected; default 0.2
}

// Lending tunes how instances borrow slots from each other.
type Lending struct {
	Enabled bool     `json:"enabled"` // default true
	Batch   int      `json:"batch"`   // most slots in one loan; default 32
	Term    Duration `json:"term"`    // a loan ends after this time; default 1s
}

// DefaultConfiguration returns the values in force without a declared configuration.
func DefaultConfiguration() Configuration {
	return Configuration{
		KeyLifetime:     Duration(15 * time.Minute),
		AnswerRetention: Duration(time.Minute),
		Admission:       Admission{CheckDeadline: true, RetryAfter: Duration(100 * time.Millisecond)},
		Ejection: Ejection{
			Failures: 5, BackOff: Duration(time.Second), MaxBackOff: Duration(30 * time.Second), MaxShare: 0.2,
		},
		Lending: Lending{Enabled: true, Batch: 32, Term: Duration(time.Second)},
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
	checkDuration(add, "admission.retryAfter", sp.Admission.RetryAfter, time.Millisecond, time.Minute)
	checkRange(add, "ejection.failures", int64(sp.Ejection.Failures), 1, 1000)
	checkDuration(add, "ejection.backOff", sp.Ejection.BackOff, time.Millisecond, time.Hour)
	checkDuration(add, "ejection.maxBackOff", sp.Ejection.MaxBackOff, time.Millisecond, time.Hour)
	if sp.Ejection.BackOff > sp.Ejection.MaxBackOff {
		add("ejection.backOff", "%s is longer than maxBackOff, which is %s", sp.Ejection.BackOff, sp.Ejection.MaxBackOff)
	}
	checkShare(add, "ejection.maxShare", sp.Ejection.MaxShare)
	checkRange(add, "lending.batch", int64(sp.Lending.Batch), 1, 10_000)
	checkDuration(add, "lending.term", sp.Lending.Term, 10*time.Millisecond, time.Minute)
}
