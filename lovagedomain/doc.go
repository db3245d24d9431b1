// Package lovagedomain divides the workers into decision domains and names the instance that decides for each domain.
//
// Pools of a region that share services form a group. A group is one domain, unless it has too many slots. Then it is
// split by data centre and by rendezvous hashing. Rendezvous hashing also ranks the instances for each domain (section 6
// of the design document). Every instance computes the same domains from the resources in force and the same deciding
// instances from the live members, so they agree without messages or table rows. Instances that temporarily know
// different resources or members may disagree. Two instances may then use the same slots, and workers refuse the excess
// tasks.
//
// The package does no I/O, reads no clock and keeps no state: the same inputs in any order give the same result. It
// does not mint keys and does not choose workers.
//
// # Usage
//
//	la := lovagedomain.Divide(pools, 4096)          // after a change of the resources
//	candidates := la.Candidates(members, 2)         // after a change of the live members
//	do := la.Choose("ticket", "kandla", loads, rng) // for each request for keys
//	ask(candidates[do][0])                          // candidates[do][1] takes over if the first one cannot be reached
package lovagedomain
