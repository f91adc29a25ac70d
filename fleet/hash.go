package fleet

import "hash/fnv"

// hashName returns the place of a name on the ring.
func hashName(name string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(name))
	return mix(hash.Sum64())
}

// score is the rendezvous weight of a node for a subject: every node computes
// the same order without exchanging anything, and a change of one node moves
// only that node's subjects.
func score(node, subject uint64) uint64 { return mix(node ^ subject) }

// mix is the finalizer of splitmix64. FNV alone leaves names that differ in
// the last digit close together.
func mix(value uint64) uint64 {
	value ^= value >> 30
	value *= 0xbf58476d1ce4e5b9
	value ^= value >> 27
	value *= 0x94d049bb133111eb
	return value ^ value>>31
}
