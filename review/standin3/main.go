// Command standin3 runs the cases of the third review that are scripts. It plays the store, the workers and the clients, and starts the
// instances as processes of their own.
//
// # Usage
//
//	standin3 CASE PROGRAM DIR
//
// PROGRAM is the built lovagestack, and DIR is where record.txt is written. The exit status is 1 if the rule was broken, 0 if it held and
// 2 if the case could not run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"errors"
	"fmt"
	"os"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(be *bed, trouble bool) (broken bool, err error){
	"cancelled": runCancelled,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE PROGRAM DIR")
		return exitNotRun
	}
	re, err := newRecorder(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer re.close()
	be, err := newBed(re, os.Args[2], 4)
	if be != nil {
		defer be.stop()
	}
	broken := false
	if err == nil {
		err = be.startAll(true)
	}
	if err == nil {
		broken, err = cases[os.Args[1]](be, os.Getenv("TROUBLE") != "0")
	}
	switch {
	case err != nil:
		re.note("not run", "error", err.Error())
		fmt.Println("not run:", err, errors.Is(err, errCouldNotRun))
		return exitNotRun
	case broken:
		re.note("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	re.note("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
