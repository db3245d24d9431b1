// Package lovagemetric records the metrics of an instance and writes them in the Prometheus text format.
//
// go-metrics keeps every registered metric, so a label with an unbounded set of values would leak memory. A [Registry]
// therefore limits the number of series per family. It allows only the label names below, which never identify a job or
// a caller. The package serves no HTTP; the operator API calls [Registry.WriteText].
//
// # Usage
//
//	re := lovagemetric.New()
//	started := re.Counter("tasks_started", "Tasks started on a worker.", lovagemetric.LabelService)
//	ticket := started.With("ticket") // look it up once; With takes a lock
//	ticket.Inc(1)
//	wait := re.Timer("queue_wait", "Time from admission to the start of a task.").With()
//	wait.Observe(3 * time.Millisecond)
//	err := re.WriteText(w)
package lovagemetric
