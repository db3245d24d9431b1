// Package lovageentry is one entry instance: it joins the decision cores to the network.
//
// The package exists so that exactly one goroutine, the control loop, owns all control state of an instance: the
// dispatch core, the key ledger and the membership view. Everything that waits for a socket runs in another goroutine
// and reports back to the control loop as an event. The package takes no decisions of its own about keys, slots or
// members; those are made by lovagedispatch, lovageledger and lovagemember, which can be tested without a process.
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
