// Package lovagebackend starts tasks on workers over HTTP and reports their outcome.
//
// It is the only place that decides whether a task may have started, because a task that may have started must never be
// started again. It does not choose workers, retry on another worker or queue tasks. lovagedispatch does that,
// depending on the [State] of a [Result].
//
// A task counts as not started only if no byte of its request was passed to the kernel, or if the worker reports it as
// not started. Each connection tracks its writes. When a request is abandoned, its connection is first sealed against
// further writes, so that a request reported as not started is never written afterwards.
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
//	case lovagebackend.Succeeded: // res.Body is complete
//	case lovagebackend.NotStarted: // another worker may be tried
//	case lovagebackend.Failed, lovagebackend.Unknown: // the task counts as started
//	}
//
// Cancelling ctx closes the connection of the request, which tells the worker to stop the task.
package lovagebackend
