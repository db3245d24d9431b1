// Package lovagebackend starts tasks on workers over HTTP and says truthfully what became of them.
//
// The package exists so that one place decides whether a task may have started, because a task that may have started
// must never be started again. It chooses no worker, retries nothing and keeps no queue; that is the business of
// lovagedispatch, which acts on the [State] of a [Result].
//
// A task counts as not started only if no byte of its request was handed to the kernel, or if the worker says so.
// Bytes are counted in the connection itself, and a connection whose request is given up is first barred from writing,
// so a request cannot be written after it was reported as not started.
//
// # Usage
//
//	cl := lovagebackend.New(lovagebackend.Settings{})
//	defer cl.Close()
//	res := cl.Run(ctx, lovagebackend.Request{
//		Worker: "kandla-w0", Address: "10.0.0.5:9100", Service: "ticket", Task: key.String() + "/0", Epoch: "7",
//		Deadline: deadline, Payload: payload,
//	})
//	switch res.State {
//	case lovagebackend.Succeeded: // res.Body is whole
//	case lovagebackend.NotStarted: // another worker may be tried
//	case lovagebackend.Failed, lovagebackend.Unknown: // the task counts as started
//	}
//
// Ending ctx closes the request, which tells the worker to stop the task.
package lovagebackend
