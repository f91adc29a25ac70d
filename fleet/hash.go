package fleet

import "hash/fnv"

// hashName returns the position of a node, domain or subject name on the hash
// ring.
func hashName(name string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(name))
	return mix(hash.Sum64())
}

// score returns the rendezvous-hashing weight of a node for a subject, both
// given by their hashes. All nodes compute the same order for a subject without
// exchanging messages, and adding or removing a node moves only that node's
// subjects.
func score(node, subject uint64) uint64 { return mix(node ^ subject) }

// mix is the finalizer of splitmix64. FNV alone gives close hashes to names
// that differ only in the last digit.
func mix(value uint64) uint64 {
	value ^= value >> 30
	value *= 0xbf58476d1ce4e5b9
	value ^= value >> 27
	value *= 0x94d049bb133111eb
	return value ^ value>>31
}
