// Command standin plays one case of the review. It serves a store, workers and clients, runs entry instances of lovagestack as
// processes, and writes what was sent, answered and run to a record.
//
// # Usage
//
//	standin --program target/lovagestack --record review/1/record.txt antiAffinity
//
// It exits with 1 if the rule of the case was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 in the
// environment, it leaves the disruption out.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario plays a case. It returns an error if the case could not run.
type scenario func(ctx context.Context, be *bed) error

var scenarios = map[string]scenario{}

func main() {
	program := flag.String("program", "target/lovagestack", "the program of the deploy file")
	recordPath := flag.String("record", "record.txt", "file to write the record to")
	flag.Parse()
	os.Exit(play(flag.Arg(0), *program, *recordPath))
}

func play(name, program, recordPath string) int {
	run, ok := scenarios[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "standin: unknown case %q\n", name)
		return exitNotRun
	}
	file, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitNotRun
	}
	defer func() { _ = file.Close() }()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, 110*time.Second)
	defer cancel()
	re := newRecord(file)
	be, err := newBed(program, re, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitNotRun
	}
	err = run(ctx, be)
	be.close()
	if err == nil {
		err = ctx.Err()
	}
	violations := re.finish()
	for _, text := range violations[:min(len(violations), 10)] {
		fmt.Println(text)
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "standin: the case could not run:", err)
		return exitNotRun
	case len(violations) > 0:
		fmt.Printf("broken: %d times\n", len(violations))
		return exitBroken
	}
	fmt.Println("held:", re.summary())
	return exitHeld
}

// countValues returns the values with their numbers of occurrences, sorted by value.
func countValues(counts map[string]int) string {
	var parts []string
	for value, n := range counts {
		parts = append(parts, fmt.Sprintf("%s %d", value, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
