package lovagecheck

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"lovagestack/lovagefleet"
)

// Change is a kind of difference.
type Change string

// Changes.
const (
	ChangeAdded   Change = "added"
	ChangeRemoved Change = "removed"
	ChangeChanged Change = "changed"
)

// Difference is one thing in which a configuration differs from the one in force.
type Difference struct {
	Change   Change
	Section  Section
	Name     string // of the route or service, by the new configuration unless it is removed
	Field    Field  // of ChangeChanged
	From, To string // values of the field
	Effect   string // what callers notice; empty: nothing
}

// address is what selects a route.
type address struct{ host, prefix string }

func addressOf(ro *lovagefleet.Route) address { return address{ro.Host, ro.PathPrefix} }

// String returns the host and the path prefix.
func (ad address) String() string { return ad.host + ad.prefix }

// routeIndex finds routes as lovagefleet.Configuration.FindRoute does, without a pass over all routes.
type routeIndex struct {
	byAddress map[address]*lovagefleet.Route
	lengths   map[string][]int // lengths of the prefixes of a host, longest first
}

func newRouteIndex(co *lovagefleet.Configuration) *routeIndex {
	ri := &routeIndex{byAddress: map[address]*lovagefleet.Route{}, lengths: map[string][]int{}}
	for i := range co.Routes {
		ro := &co.Routes[i]
		if _, ok := ri.byAddress[addressOf(ro)]; !ok {
			ri.byAddress[addressOf(ro)] = ro
			ri.lengths[ro.Host] = append(ri.lengths[ro.Host], len(ro.PathPrefix))
		}
	}
	for host, lengths := range ri.lengths {
		slices.SortFunc(lengths, func(a, b int) int { return cmp.Compare(b, a) })
		ri.lengths[host] = slices.Compact(lengths)
	}
	return ri
}

// shorter returns the route that requests to the address match if no route has the address itself.
func (ri *routeIndex) shorter(ad address) *lovagefleet.Route {
	for _, n := range ri.lengths[ad.host] {
		if n < len(ad.prefix) {
			if ro, ok := ri.byAddress[address{ad.host, ad.prefix[:n]}]; ok {
				return ro
			}
		}
	}
	return nil
}

// comparer collects differences.
type comparer struct {
	before, after *routeIndex
	differences   []Difference
}

// Compare returns the differences of a configuration from the one in force: routes in the new order, then those removed, then services
// and limits.
func Compare(inForce, next Declared) []Difference {
	co := &comparer{before: newRouteIndex(inForce.Configuration), after: newRouteIndex(next.Configuration)}
	co.compareRoutes(inForce.Configuration.Routes, next.Configuration.Routes)
	co.compareServices(inForce.Services, next.Services)
	if from, to := inForce.Configuration.MaxBodyBytes, next.Configuration.MaxBodyBytes; from != to {
		co.differences = append(co.differences, Difference{
			Change: ChangeChanged, Section: SectionLimits, Field: FieldMaxBodyBytes,
			From: strconv.FormatInt(from, 10), To: strconv.FormatInt(to, 10), Effect: bodyLimitEffect(from, to),
		})
	}
	return co.differences
}

func bodyLimitEffect(from, to int64) string {
	switch {
	case to < 1:
		return "bodies above the default limit will get 413"
	case from >= 1 && from < to:
		return fmt.Sprintf("bodies of up to %d bytes are accepted", to)
	}
	return fmt.Sprintf("bodies above %d bytes will get 413", to)
}

// pairRoutes returns the index of the former route for each new one, or -1. Routes are the same if name and address agree, otherwise if
// the name does, otherwise if the address does.
func pairRoutes(before, after []lovagefleet.Route) (pairs []int, paired []bool) {
	type key struct {
		name string
		ad   address
	}
	pairs, paired = make([]int, len(after)), make([]bool, len(before))
	for i := range pairs {
		pairs[i] = -1
	}
	for _, keyOf := range []func(*lovagefleet.Route) key{
		func(ro *lovagefleet.Route) key { return key{ro.Name, addressOf(ro)} },
		func(ro *lovagefleet.Route) key { return key{name: ro.Name} },
		func(ro *lovagefleet.Route) key { return key{ad: addressOf(ro)} },
	} {
		free := map[key]int{}
		for i := range before {
			if _, ok := free[keyOf(&before[i])]; !ok && !paired[i] {
				free[keyOf(&before[i])] = i
			}
		}
		for i := range after {
			if former, ok := free[keyOf(&after[i])]; ok && pairs[i] < 0 {
				pairs[i], paired[former] = former, true
				delete(free, keyOf(&after[i]))
			}
		}
	}
	return pairs, paired
}

func (co *comparer) compareRoutes(before, after []lovagefleet.Route) {
	pairs, paired := pairRoutes(before, after)
	for i := range after {
		if ro := &after[i]; pairs[i] < 0 {
			co.differences = append(co.differences, Difference{
				Change: ChangeAdded, Section: SectionRoutes, Name: ro.Name, Effect: co.addressEffect(addressOf(ro)),
			})
		} else {
			co.compareRoute(&before[pairs[i]], ro)
		}
	}
	for i := range before {
		if ro := &before[i]; !paired[i] {
			co.differences = append(co.differences, Difference{
				Change: ChangeRemoved, Section: SectionRoutes, Name: ro.Name, Effect: co.addressEffect(addressOf(ro)),
			})
		}
	}
}

// addressEffect says where requests to an address go that at least one of the configurations has.
func (co *comparer) addressEffect(ad address) string {
	from, to := co.before.byAddress[ad], co.after.byAddress[ad]
	switch {
	case to == nil:
		text := fmt.Sprintf("requests to %s will get 404", ad)
		if ro := co.after.shorter(ad); ro != nil {
			// The rest of the path is the job's ID, which has a fixed length. So it is none after a shorter prefix.
			text += fmt.Sprintf("; they fall back to route %q (%s), where the rest of their path is not a job's ID", ro.Name, addressOf(ro))
		}
		return text
	case from == nil:
		return fmt.Sprintf("requests to %s, so far answered with 404, go to service %s", ad, to.Service)
	case from.Service != to.Service:
		return fmt.Sprintf("requests to %s move from service %s to service %s", ad, from.Service, to.Service)
	case from.Name != to.Name:
		return fmt.Sprintf("requests to %s move from queue %s to queue %s", ad, from.Name, to.Name)
	}
	return ""
}

// compareRoute compares two versions of a route field by field.
func (co *comparer) compareRoute(from, to *lovagefleet.Route) {
	add := func(fi Field, a, b any, effect string) {
		if a != b {
			co.differences = append(co.differences, Difference{
				Change: ChangeChanged, Section: SectionRoutes, Name: to.Name, Field: fi, From: fmt.Sprint(a), To: fmt.Sprint(b), Effect: effect,
			})
		}
	}
	moved := ""
	if addressOf(from) != addressOf(to) {
		effects := []string{co.addressEffect(addressOf(from)), co.addressEffect(addressOf(to))}
		moved = strings.Join(slices.DeleteFunc(effects, func(s string) bool { return s == "" }), "; ")
	}
	add(FieldName, from.Name, to.Name, "callers cannot cancel jobs that they submitted before")
	add(FieldHost, from.Host, to.Host, moved)
	add(FieldPathPrefix, from.PathPrefix, to.PathPrefix, moved)
	add(FieldService, from.Service, to.Service,
		fmt.Sprintf("requests to %s, and jobs that wait, move to service %s", addressOf(to), to.Service))
	add(FieldTimeout, from.Timeout, to.Timeout, fmt.Sprintf("callers that send no deadline are answered within %v", to.Timeout))
	add(FieldTargetLatency, from.TargetLatency, to.TargetLatency, goalEffect(to.TargetLatency < from.TargetLatency))
	add(FieldSlackFactor, from.SlackFactor, to.SlackFactor, goalEffect(to.SlackFactor < from.SlackFactor))
	add(FieldPriority, from.Priority, to.Priority, "jobs rank differently against those of other queues when workers are short")
	add(FieldMaxAttempts, from.MaxAttempts, to.MaxAttempts,
		fmt.Sprintf("a job fails once a task has failed %d times", max(to.MaxAttempts, 1)))
	advised := "jobs are served"
	if to.Advised {
		advised = "jobs will get 503, because advice on workers is not supported"
	}
	add(FieldAdvised, from.Advised, to.Advised, advised)
}

func goalEffect(earlier bool) string {
	if earlier {
		return "the goal for answers is earlier"
	}
	return "the goal for answers is later"
}

func (co *comparer) compareServices(before, after []Service) {
	byName := func(list []Service) map[string]Service {
		services := make(map[string]Service, len(list))
		for _, se := range list {
			if se.Name != "" { // else the entry is odd, which is a finding
				services[se.Name] = se
			}
		}
		return services
	}
	from, to := byName(before), byName(after)
	for _, name := range slices.Sorted(maps.Keys(to)) {
		former, ok := from[name]
		if !ok {
			co.differences = append(co.differences, Difference{Change: ChangeAdded, Section: SectionServices, Name: name})
			continue
		}
		fields := map[string]bool{}
		for _, se := range []Service{former, to[name]} {
			for field := range se.Fields {
				fields[field] = true
			}
		}
		for _, field := range slices.Sorted(maps.Keys(fields)) {
			if a, b := former.Fields[field], to[name].Fields[field]; a != b {
				co.differences = append(co.differences, Difference{
					Change: ChangeChanged, Section: SectionServices, Name: name, Field: Field(field), From: a, To: b,
				})
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(from)) {
		if _, ok := to[name]; !ok {
			co.differences = append(co.differences, Difference{Change: ChangeRemoved, Section: SectionServices, Name: name})
		}
	}
}
