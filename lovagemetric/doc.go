// Package lovagemetric counts what an instance does and writes the counts in the Prometheus text format.
//
// The package exists because go-metrics keeps every metric that was ever registered: a label with an unbounded set of
// values would leak memory. A [Registry] therefore allows only the label names below, which never stand for a job or a
// caller, and a bounded number of series per family. It serves no HTTP; the operator API calls [Registry.WriteText].
//
// # Usage
//
//	re := lovagemetric.New()
//	started := re.Counter("tasks_started", "Tasks started on a worker.", lovagemetric.LabelService)
//	ticket := started.With("ticket") // keep it; With takes a lock
//	ticket.Inc(1)
//	wait := re.Timer("queue_wait", "Time from admission to the start of a task.").With()
//	wait.Observe(3 * time.Millisecond)
//	err := re.WriteText(w)
package lovagemetric
