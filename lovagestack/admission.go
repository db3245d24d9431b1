package main

import (
	"lovagestack/lovageadmission"
	"lovagestack/lovagemetric"
	"lovagestack/platform"
)

// registerAdmission exports what callers hold, and how many clients and replies were refused.
func registerAdmission(metrics *lovagemetric.Registry, accounts platform.Accounts, store *platform.Store, workers *platform.WorkerClient) {
	metrics.GaugeFunc("client_connections", "Open connections of callers.",
		func() float64 { return float64(accounts.Frontend.Use().Connections) })
	metrics.GaugeFunc("client_connections_waiting", "Connections of callers that wait for a place.",
		func() float64 { return float64(accounts.Frontend.Use().Waiting) })
	metrics.GaugeFunc("client_header_bytes", "Memory reserved for headers of callers in progress.",
		func() float64 { return float64(accounts.Frontend.Use().HeaderBytes) })
	metrics.GaugeFunc("client_body_bytes", "Memory reserved for requests of callers in progress.",
		func() float64 { return float64(accounts.Frontend.Use().BodyBytes) })
	for _, reason := range lovageadmission.Reasons() {
		metrics.CounterFunc("clients_refused_"+string(reason), "Clients at all addresses that were refused or dropped by a limit.", func() float64 {
			return float64(accounts.Frontend.Use().Refused[reason] + accounts.Readiness.Use().Refused[reason] + accounts.Metrics.Use().Refused[reason])
		})
	}
	metrics.CounterFunc("replies_refused", "Replies of workers and of the store that had no room beside the others.",
		func() float64 { return float64(store.RefusedReplies() + workers.RefusedReplies()) })
}
