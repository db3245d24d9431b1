// Package lovageadmission accounts for what the clients of an address may hold: connections, headers and bodies of requests. It decides
// which client is dropped when a limit is reached. It does no I/O and has no clock: the time is passed in.
//
// # Usage
//
//	ac := lovageadmission.New(lovageadmission.DefaultSettings(memoryMB, maxFiles))
//	co := ac.NewConnection(client)
//	co.Open(now)             // a place, a wait for one, or a refusal
//	co.Read(now, data)       // for each read of the connection
//	co.Begin(now)            // the header of a request has arrived; false: refuse it
//	co.StartBody(now, bytes) // bytes of memory will be needed for the body; 0: not known
//	co.Grow(now, n, bytes)   // n bytes of the body have arrived; more bytes of memory are needed for it
//	co.Received(now)         // the body is complete; from here on, the request is not dropped
//	co.End(now)              // it is answered
//	co.Close(now)
package lovageadmission
