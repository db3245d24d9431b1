// Package lovageentry implements an entry instance: it connects the dispatch core, the key ledger and the membership view
// to the network.
//
// One goroutine, the control loop, owns all control state of an instance: the dispatch core, the key ledger and the
// membership view. Everything that waits for a socket runs in another goroutine, which reports to the control loop by
// an event. lovageledger, lovagedispatch and lovagemember make the decisions about keys, slots and members, and can be
// tested without a process.
//
// Events are structs with an apply method that the control loop calls. Each file holds the events, the commands and the
// goroutines of one feature.
//
// # Usage
//
//	in, err := lovageentry.New(lovageentry.Options{Settings: settings, Platform: client, Log: log})
//	if err != nil {
//		return err
//	}
//	err = in.Serve(ctx) // until ctx ends; then a graceful shutdown
package lovageentry
