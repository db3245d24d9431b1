// Package lovagecheck checks a configuration before operators send it, and says what it changes for callers.
//
// It does no I/O and knows no file format: package platform decodes configurations and translates places into field names and
// lines. All checks take time in proportion to the number of routes, apart from sorting.
//
// # Usage
//
//	findings := lovagecheck.Check(lovagecheck.Input{Next: next, InForce: inForce, Workers: workers, WorkersKnown: true})
//	differences := lovagecheck.Compare(inForce, next)
package lovagecheck

import (
	"fmt"
	"strings"
	"time"

	"lovagestack/lovagefleet"
)

// Severity says whether a finding breaks something or is only suspicious.
type Severity string

// Severities. A configuration with an error does not do what its author means; one with a warning may.
const (
	SeverityError   Severity = "error"
	SeverityWarning Severity = "warning"
)

// Section is a part of a configuration.
type Section string

// Sections.
const (
	SectionVersion  Section = "version"
	SectionRoutes   Section = "routes"
	SectionServices Section = "services"
	SectionLimits   Section = "limits"
)

// Field is a field of an entry. Fields of services that this package does not know have the name that the configuration gives them.
type Field string

// Known fields.
const (
	FieldNone          Field = "" // the entry as a whole
	FieldName          Field = "name"
	FieldHost          Field = "host"
	FieldPathPrefix    Field = "pathPrefix"
	FieldService       Field = "service"
	FieldTimeout       Field = "timeout"
	FieldTargetLatency Field = "targetLatency"
	FieldPriority      Field = "priority"
	FieldMaxAttempts   Field = "maxAttempts"
	FieldSlackFactor   Field = "slackFactor"
	FieldAdvised       Field = "advised"
	FieldMaxBodyBytes  Field = "maxBodyBytes"
)

// NoIndex is the index of a place that is in no list, or is the list as a whole.
const NoIndex = -1

// Place is where in a configuration a finding is.
type Place struct {
	Section Section
	Index   int // in Section if that is a list
	Field   Field
}

// Finding is one fault of a configuration.
type Finding struct {
	Severity Severity
	Place    Place
	Problem  string
}

// Service is the declaration of a service.
type Service struct {
	Name   string            // empty: the entry has no readable name
	Fields map[string]string // encoded values of the other fields, by name
}

// Declared is a configuration with its declarations of services, which lovagefleet does not use.
type Declared struct {
	Configuration *lovagefleet.Configuration
	Services      []Service
	HasServices   bool // false: the configuration has no list of services
	HasBodyLimit  bool // false: MaxBodyBytes is not given
}

// Input is a configuration and what it is checked against.
type Input struct {
	Next         Declared
	Undecoded    map[Place]bool // fields without a usable value, which have been reported and are not checked again
	InForce      *lovagefleet.Configuration
	Workers      []lovagefleet.RegisteredWorker
	WorkersKnown bool
	MemoryBytes  int64 // memory of the smallest machine; 0: unknown
	// DefaultBodyBytes is the limit of bodies that applies if the configuration has none.
	DefaultBodyBytes int64
}

const (
	// maxDuration is the longest duration that package platform decodes. It cuts longer ones.
	maxDuration = (1 << 32) * time.Millisecond
	// maxSlackFactor keeps response time goals far from the overflow of time.Duration. Factors in use are below 10.
	maxSlackFactor = 1000
	// heapShare is the part of a machine's memory that serve leaves to the heap: half of it.
	heapShare = 2
	// minBodies is how many of the largest bodies must fit into the heap at once. It is an assumption: configurations do not limit
	// connections.
	minBodies = 64
)

// checker collects findings.
type checker struct {
	in       Input
	findings []Finding
}

func (ch *checker) add(se Severity, pl Place, format string, args ...any) {
	if !ch.in.Undecoded[pl] {
		ch.findings = append(ch.findings, Finding{se, pl, fmt.Sprintf(format, args...)})
	}
}

// Check returns the findings about a configuration, by section.
func Check(in Input) []Finding {
	ch := &checker{in: in}
	ch.checkVersion()
	for i := range in.Next.Configuration.Routes {
		ch.checkRoute(i, &in.Next.Configuration.Routes[i])
	}
	ch.checkDuplicates()
	ch.checkServices()
	ch.checkBodyLimit()
	return ch.findings
}

func (ch *checker) checkVersion() {
	pl := Place{SectionVersion, NoIndex, FieldNone}
	version := ch.in.Next.Configuration.Version
	switch {
	case version < 1:
		ch.add(SeverityError, pl, "is %d, want at least 1; instances do not take this configuration", version)
	case ch.in.InForce != nil && version <= ch.in.InForce.Version:
		ch.add(SeverityError, pl, "is %d and not above %d, the version in force; instances do not take this configuration",
			version, ch.in.InForce.Version)
	}
}

func (ch *checker) checkRoute(index int, ro *lovagefleet.Route) {
	at := func(fi Field) Place { return Place{SectionRoutes, index, fi} }
	if ro.Name == "" {
		ch.add(SeverityError, at(FieldName), "is missing")
	}
	switch {
	case ro.Host == "":
		ch.add(SeverityError, at(FieldHost), "is missing; the route never matches a request")
	case strings.ContainsAny(ro.Host, ":/ "):
		ch.add(SeverityError, at(FieldHost), "%q is not a plain host name; the route never matches, hosts are compared without port", ro.Host)
	}
	switch {
	case ro.PathPrefix == "":
		ch.add(SeverityError, at(FieldPathPrefix), "is missing; the route never gets a job")
	case ro.PathPrefix[0] != '/':
		ch.add(SeverityError, at(FieldPathPrefix), "%q does not begin with /; the route never matches a request", ro.PathPrefix)
	case !strings.HasSuffix(ro.PathPrefix, "/"):
		ch.add(SeverityWarning, at(FieldPathPrefix), "%q does not end with /; a job's ID must follow it directly", ro.PathPrefix)
	}
	ch.checkTimes(at, ro)
	if ro.Priority < 0 {
		ch.add(SeverityError, at(FieldPriority), "is %d, want at least 0", ro.Priority)
	}
	if ro.MaxAttempts < 1 {
		ch.add(SeverityError, at(FieldMaxAttempts), "is %d, want at least 1", ro.MaxAttempts)
	}
	if ro.SlackFactor < 1 || ro.SlackFactor > maxSlackFactor {
		ch.add(SeverityError, at(FieldSlackFactor), "is %g, want 1 to %d", ro.SlackFactor, maxSlackFactor)
	}
	if ro.Advised {
		ch.add(SeverityWarning, at(FieldAdvised), "is set; jobs that need advice on workers are refused as not supported")
	}
}

func (ch *checker) checkTimes(at func(Field) Place, ro *lovagefleet.Route) {
	switch {
	case ro.Timeout <= 0:
		ch.add(SeverityError, at(FieldTimeout), "is %v, want more than 0", ro.Timeout)
	case ro.Timeout >= maxDuration:
		ch.add(SeverityError, at(FieldTimeout), "is %v or more, want less", maxDuration)
	}
	switch {
	case ro.TargetLatency < 0:
		ch.add(SeverityError, at(FieldTargetLatency), "is %v, want at least 0", ro.TargetLatency)
	case ro.TargetLatency >= maxDuration:
		ch.add(SeverityError, at(FieldTargetLatency), "is %v or more, want less", maxDuration)
	case ro.Timeout <= 0 || ch.in.Undecoded[at(FieldTimeout)]:
	case ro.TargetLatency > ro.Timeout:
		ch.add(SeverityError, at(FieldTargetLatency), "is %v and above the timeout of %v", ro.TargetLatency, ro.Timeout)
	case ro.TargetLatency > 0 && int64(ro.MaxAttempts) > int64(ro.Timeout/ro.TargetLatency):
		ch.add(SeverityWarning, at(FieldMaxAttempts), "%d attempts of %v each do not fit into the timeout of %v",
			ro.MaxAttempts, ro.TargetLatency, ro.Timeout)
	}
}

// checkDuplicates reports routes with the address or the name of an earlier one. FindRoute returns the first of equal routes.
func (ch *checker) checkDuplicates() {
	routes := ch.in.Next.Configuration.Routes
	byAddress, byName := map[address]int{}, map[string]int{}
	for i := range routes {
		ro := &routes[i]
		if first, ok := byAddress[addressOf(ro)]; !ok {
			byAddress[addressOf(ro)] = i
		} else if ro.Host != "" && ro.PathPrefix != "" {
			ch.add(SeverityError, Place{SectionRoutes, i, FieldPathPrefix},
				"host and path %s are those of routes[%d] (%q), which hides this route", addressOf(ro), first, routes[first].Name)
		}
		if first, ok := byName[ro.Name]; !ok {
			byName[ro.Name] = i
		} else if ro.Name != "" {
			ch.add(SeverityError, Place{SectionRoutes, i, FieldName}, "%q is also the name of routes[%d]; queues need different names",
				ro.Name, first)
		}
	}
}

// checkServices reports services that do not fit to routes and workers.
func (ch *checker) checkServices() {
	next := ch.in.Next
	routed, declared := map[string]bool{}, map[string]int{}
	for i := range next.Configuration.Routes {
		routed[next.Configuration.Routes[i].Service] = true
	}
	ready, leaving := map[string]int{}, map[string]int{}
	for i := range ch.in.Workers {
		if wo := &ch.in.Workers[i]; wo.Draining {
			leaving[wo.Service]++
		} else {
			ready[wo.Service]++
		}
	}
	for i, se := range next.Services {
		pl := Place{SectionServices, i, FieldName}
		if se.Name == "" {
			ch.add(SeverityError, pl, "is missing")
			continue
		}
		if first, ok := declared[se.Name]; ok {
			ch.add(SeverityError, pl, "%q is also declared by services[%d]", se.Name, first)
			continue
		}
		declared[se.Name] = i
		if !routed[se.Name] {
			ch.add(SeverityWarning, pl, "service %q has no route", se.Name)
		}
		if ch.in.WorkersKnown && ready[se.Name] == 0 {
			ch.add(SeverityWarning, pl, "service %q has no workers%s", se.Name, leavingNote(leaving[se.Name]))
		}
	}
	if !next.HasServices && len(next.Configuration.Routes) > 0 {
		ch.add(SeverityError, Place{SectionServices, NoIndex, FieldNone}, "is missing; routes name services that are not declared")
	}
	for i := range next.Configuration.Routes {
		ro, pl := &next.Configuration.Routes[i], Place{SectionRoutes, i, FieldService}
		_, ok := declared[ro.Service]
		switch {
		case ro.Service == "":
			ch.add(SeverityError, pl, "is missing")
		case !ok && next.HasServices:
			ch.add(SeverityError, pl, "service %q is not declared", ro.Service)
		}
	}
}

func leavingNote(leaving int) string {
	if leaving == 0 {
		return ""
	}
	return fmt.Sprintf(" besides %d that are leaving", leaving)
}

func (ch *checker) checkBodyLimit() {
	pl := Place{SectionLimits, NoIndex, FieldMaxBodyBytes}
	limit, note := ch.in.Next.Configuration.MaxBodyBytes, ""
	if limit < 1 && ch.in.Next.HasBodyLimit {
		ch.add(SeverityError, pl, "is %d, want at least 1; instances use %d", limit, ch.in.DefaultBodyBytes)
	}
	if limit < 1 {
		limit, note = ch.in.DefaultBodyBytes, " (the default)"
	}
	heap := ch.in.MemoryBytes / heapShare
	switch {
	case ch.in.MemoryBytes <= 0:
	case limit > heap:
		ch.add(SeverityError, pl, "one body of %d bytes%s exceeds the heap of the smallest machine, %d bytes", limit, note, heap)
	case limit > heap/minBodies:
		ch.add(SeverityWarning, pl, "fewer than %d bodies of %d bytes%s fit into the heap of the smallest machine, %d bytes",
			minBodies, limit, note, heap)
	}
}
