package limit

import "time"

// A Holding is what one connection of a caller makes the node hold.
type Holding struct {
	// Bytes is the memory that ends with the connection.
	Bytes int64

	// Elapsed is the time since the present step of the connection began: the wait for a
	// request, its head, or its body. Allowed is the time that the step may take.
	Elapsed time.Duration
	Allowed time.Duration
}

// FirstToYield returns the index of the holding that ends first when room is short: the one
// that holds most and progresses least. It returns -1 if none of them ranks above the one that
// asks for room.
//
// The load pattern: crowds of callers that fill what a node holds for them and then stand
// still, or send byte by byte, beside ordinary callers, whose steps take milliseconds. The
// elapsed time counts from the beginning of a step, so that a trickle of bytes does not
// improve the rank. It counts as a share of the allowed time: a connection that waits for its
// next request may do so for much longer than a head may take.
func FirstToYield(holdings []Holding, asking Holding) int {
	first, highest := -1, asking.rank()
	for index, holding := range holdings {
		if rank := holding.rank(); rank > highest {
			first, highest = index, rank
		}
	}
	return first
}

func (holding Holding) rank() float64 {
	return float64(holding.Bytes) * float64(holding.Elapsed) / float64(max(holding.Allowed, time.Millisecond))
}
