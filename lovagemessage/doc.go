// Package lovagemessage holds the protobuf messages that entry instances exchange.
//
// The messages are declared in message.proto; the Go code is generated and committed, so neither the build nor CI
// runs a generator. The package adds only conversions to and from the typed values of lovagejob.
//
// # Usage
//
//	req := &lovagemessage.Request{Body: &lovagemessage.Request_Ask{Ask: &lovagemessage.Ask{Key: key.String()}}}
//
// After a change to message.proto, run "make generate" and commit the result.
package lovagemessage
