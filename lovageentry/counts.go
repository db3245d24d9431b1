package lovageentry

import (
	"io"
	"time"

	"github.com/rcrowley/go-metrics"

	"lovagestack/lovagebackend"
	"lovagestack/lovagejob"
	"lovagestack/lovagemetric"
	"lovagestack/lovagepeer"
	"lovagestack/lovagesync"
)

// counts holds the counters of an instance. newCounts describes them.
type counts struct {
	registry          *lovagemetric.Registry
	eventsHandled     metrics.Counter
	jobsAdmitted      metrics.Counter
	jobsGivenUp       metrics.Counter
	tasksStarted      metrics.Counter
	tasksNotSent      metrics.Counter
	forwards          metrics.Counter
	forwardsFailed    metrics.Counter
	ownersNamed       metrics.Counter
	acceptBatches     metrics.Counter
	resultCopies      metrics.Counter
	estimateCopies    metrics.Counter
	heartbeatsSent    metrics.Counter
	heartbeatsFailed  metrics.Counter
	summariesSent     metrics.Counter
	tableReads        metrics.Counter
	tableWrites       metrics.Counter
	tableFailures     metrics.Counter
	serviceRestarts   metrics.Counter
	answers           lovagemetric.CounterFamily
	mintRequests      lovagemetric.CounterFamily
	tasksEnded        lovagemetric.CounterFamily
	taskTime          *lovagemetric.Timer
	answersBeforeCopy metrics.Counter
	rowsDeleted       metrics.Counter
	rangesFreed       metrics.Counter
	mintsRefused      metrics.Counter
}

func newCounts(re *lovagemetric.Registry) *counts {
	counter := func(name, help string) metrics.Counter { return re.Counter(name, help).With() }
	return &counts{
		registry:       re,
		eventsHandled:  counter("control_events", "Events that the control loop handled."),
		jobsAdmitted:   counter("jobs_admitted", "Jobs whose key was accepted here."),
		jobsGivenUp:    counter("jobs_given_up", "Jobs that were ended before a task was started, because their content had no room."),
		tasksStarted:   counter("tasks_started", "Task requests sent to workers."),
		tasksNotSent:   counter("tasks_not_sent", "Tasks whose worker was no longer declared; nothing was sent."),
		forwards:       counter("forwards", "Requests sent on to the instance that decides their key."),
		forwardsFailed: counter("forwards_failed", "Forwards without an answer."),
		ownersNamed:    counter("owners_named", "Answers to forwarded requests that contain the owner's address."),
		acceptBatches:  counter("accepts", "Batches of keys sent to replicas."),
		resultCopies:   counter("result_copies", "Batches of answers sent to replicas."),
		estimateCopies: counter("estimate_copies", "Copies of learned run times, speeds and ejections sent to peers."),
		answersBeforeCopy: counter("answers_before_copy",
			"Answers given although the replica had not acknowledged the end of the job within 50 ms."),
		rowsDeleted:      counter("rows_deleted", "Table rows of ended instances that this instance deleted."),
		rangesFreed:      counter("ranges_freed", "Key ranges freed whose owner and replica had ended."),
		mintsRefused:     counter("mints_refused", "Requests for keys refused because of limits.records."),
		heartbeatsSent:   counter("heartbeats", "Heartbeats sent."),
		heartbeatsFailed: counter("heartbeats_failed", "Heartbeats without a reply."),
		summariesSent:    counter("summaries_sent", "Summaries of a data centre sent in heartbeats and replies to them."),
		tableReads:       counter("table_reads", "Reads of the table by the ledger."),
		tableWrites:      counter("table_writes", "Transactions of the ledger."),
		tableFailures:    counter("table_failed", "Table operations of the ledger that failed."),
		serviceRestarts:  counter("service_restarts", "Services of the supervisor tree that failed and were restarted."),
		answers:          re.Counter("answers", "Answers given.", lovagemetric.LabelOutcome),
		mintRequests:     re.Counter("mints", "Requests for keys, by where the keys came from.", lovagemetric.LabelReason),
		tasksEnded:       re.Counter("tasks_ended", "Ends of task requests.", lovagemetric.LabelState),
		taskTime:         re.Timer("task_time", "Time from sending a task to its end.").With(),
	}
}

// registerGauges adds the gauges, which read their values when the metrics are written.
func (co *counts) registerGauges(in *Instance) {
	co.registry.GaugeFunc("requests_in_flight", "Requests of callers and peers in progress.", func() float64 {
		return float64(in.inFlight.value())
	})
	co.registry.GaugeFunc("control_backlog", "Events that wait for the control loop.", func() float64 {
		return float64(len(in.control.events))
	})
	co.registry.GaugeFunc("peer_sessions", "Sessions with other instances.", func() float64 {
		return float64(in.mesh.SessionCount())
	})
	co.registry.GaugeFunc("relay", "1 if this instance is the relay of its data centre, else 0.", func() float64 {
		if in.isRelay.Load() {
			return 1
		}
		return 0
	})
	co.registry.GaugeFunc("domains_decided", "Decision domains for which this instance decides.", func() float64 {
		return float64(in.domainRouter.decidedCount.Load())
	})
	co.registry.GaugeFunc("records", "Keys that the instance remembers.", func() float64 {
		return float64(in.recordCount.Load())
	})
	co.registry.GaugeFunc("records_dropped_early", "Records dropped before the lifetime of their keys, because of limits.records.",
		func() float64 { return float64(in.evictedRecordCount.Load()) })
	co.registry.GaugeFunc("applied_revision", "Revision of the configuration in force here.", func() float64 {
		return float64(in.store.Revision())
	})
}

type syncCounters struct{ *counts }

// Counter ignores the second parameter, the kind, which is always empty.
func (sc syncCounters) Counter(name, _ string) lovagesync.Counter {
	return sc.registry.Counter(name, "Configuration: see lovagesync.").With()
}

// Counter returns a counter of the peer mesh.
func (co *counts) Counter(name, kind string) lovagepeer.Counter {
	return lovagemetric.PeerCounters{Registry: co.registry}.Counter(name, kind)
}

func (co *counts) answerGiven(ou lovagejob.Outcome) { co.answers.With(string(ou)).Inc(1) }

func (co *counts) taskEnded(st lovagebackend.State, duration time.Duration) {
	co.tasksEnded.With(string(st)).Inc(1)
	co.taskTime.Observe(duration)
}

// WriteMetrics writes the instance's metrics in the Prometheus text format.
func (in *Instance) WriteMetrics(w io.Writer) error { return in.counts.registry.WriteText(w) }
