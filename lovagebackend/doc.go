// Package lovagebackend starts tasks on workers over HTTP and says truthfully what became of them.
//
// The package exists so that one place decides whether a task may have started, because a task that may have started
// must never be started again. It chooses no worker, retries nothing and keeps no queue; that is the business of
// lovagedispatch, which acts on the [State] of a [Result].
package lovagebackend
