// Package lovageentry implements an entry instance: it connects the dispatch core, the key ledger and the membership view
// to the network.
//
// Exactly one goroutine, the control loop, owns all control state of an instance: the dispatch core, the key ledger and
// the membership view. Everything that waits for a socket runs in another goroutine and reports back to the control loop
// as an event. The package makes no decisions about keys, slots or members. Those are made by lovageledger,
// lovagedispatch and lovagemember, which can be tested without a process.
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
