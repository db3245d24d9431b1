package lovagedispatch

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// shareOf returns the number of slots of a worker that belong to an instance: slot s belongs to member
// (s + hash(worker)) mod n of the sorted live members of the worker's data centre. It is 0 if the instance is not a
// member.
func shareOf(worker string, slots int, members []string, instance string) int {
	n := len(members)
	i, ok := slices.BinarySearch(members, instance)
	if !ok {
		return 0
	}
	first := (i - int(xxhash.Sum64String(worker)%uint64(n)) + n) % n
	if first >= slots {
		return 0
	}
	return (slots-first-1)/n + 1
}
