package lovageentry

import (
	"lovagestack/lovagebackend"
	"lovagestack/lovagemetric"
)

// newBackend returns the client that sends tasks to the workers. The client's counters are registered in re.
func newBackend(re *lovagemetric.Registry, dial Dial) *lovagebackend.Client {
	counter := func(name, help string) lovagebackend.Counter { return re.Counter("backend_"+name, help).With() }
	return lovagebackend.New(lovagebackend.Settings{Dial: dial, Counters: lovagebackend.Counters{
		ConnectionsOpened:     counter("connections", "Connections opened to workers."),
		DialFailures:          counter("dial_failures", "Connections to workers that could not be opened."),
		RequestsSent:          counter("requests", "Requests of which at least one byte was written."),
		StaleConnections:      counter("stale", "Reused connections found closed before a byte was written."),
		ReplaysPrevented:      counter("replays_prevented", "Requests not sent again after a part of them had been written."),
		SilentConnections:     counter("silent", "Connections closed as silent with a task on them."),
		IdleConnectionsClosed: counter("idle_closed", "Idle connections closed because an older request got no answer."),
		MismatchedReplies:     counter("crossed", "Replies that named another task."),
	}})
}

// connectionLimit returns the maximum number of connections from this instance to a worker: an equal share of the
// worker's limit, but at least one per slot if the limit allows that. The deciding instance needs a connection per
// slot, because it uses all slots and the other instances use none. With more than eight instances, an equal share of
// 64 connections would be less than 8.
func connectionLimit(limit, slots, instances int) int {
	return max(1, min(limit, max(slots, limit/max(1, instances))))
}
