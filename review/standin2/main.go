// Command standin2 runs the scripted cases of the second independent review. It starts the program's processes, the users' store, workers
// and clients, and checks one rule from what the clients and the workers see.
//
// # Usage
//
//	TROUBLE=0 target/review-standin-2 --case secondSignal --record record.txt --program target/lovagestack
//
// The case soak disturbs processes, workers and the store at random. SEED sets its seed, LONG a factor on run times and pauses, and with
// PLANNED=1 only planned work comes. The case lostZone is described in review/REPORT-2.md.
//
// The exit status is 0 if the rule held, 1 if it was broken and 2 if the case could not run. With TROUBLE=0 in the environment the case
// runs without its disruption.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"
)

// errBroken says that a rule was broken.
var errBroken = errors.New("the rule is broken")

// errNotStarted says that the tasks to be disturbed did not run when the disruption was due.
var errNotStarted = errors.New("the tasks have not begun")

// broken returns an error that says how a rule was broken.
func broken(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errBroken, fmt.Sprintf(format, args...))
}

// run is what a case gets.
type run struct {
	ctx     context.Context // its end ends all processes
	re      *record
	program string
	trouble bool
	keep    bool // keep settings and logs
}

// cases are the scripted cases by name.
var cases = map[string]func(*run) error{
	"secondSignal":    secondSignal,
	"renamedQueue":    renamedQueue,
	"addedZone":       addedZone,
	"lostZone":        lostZone,
	"forgottenCancel": forgottenCancel,
	"keptJob":         keptJob,
	"soak":            playSoak,
}

const (
	longestRun = 115 * time.Second
	killTime   = 500 * time.Millisecond // for processes to end that are killed
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() { os.Exit(mainStatus()) }

func mainStatus() int {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	program := flag.String("program", "target/lovagestack", "the program")
	keep := flag.Bool("keep", false, "keep settings and logs of the processes")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		names := make([]string, 0, len(cases))
		for na := range cases {
			names = append(names, na)
		}
		slices.Sort(names)
		fmt.Fprintln(os.Stderr, "cases:", strings.Join(names, ", "))
		return exitNotRun
	}
	re, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, longestRun)
	defer cancel()
	result := make(chan error, 1)
	go func() {
		result <- play(&run{ctx: ctx, re: re, program: *program, trouble: os.Getenv("TROUBLE") != "0", keep: *keep})
	}()
	select {
	case err = <-result:
	case <-ctx.Done():
		err = fmt.Errorf("ended early: %w", ctx.Err())
		time.Sleep(killTime)
	}
	status, text := exitHeld, "the rule held"
	switch {
	case errors.Is(err, errBroken):
		status, text = exitBroken, err.Error()
	case err != nil:
		status, text = exitNotRun, "could not run: "+err.Error()
	}
	re.add("%s", text)
	fmt.Println(text)
	return status
}
