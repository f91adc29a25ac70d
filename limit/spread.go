package limit

import "time"

// A Place is a target among which Spread chooses.
type Place struct {
	// Room is the number of requests that all nodes together may send to the target within
	// the horizon, 0 for none. See Pace.Room.
	Room float64

	// Left is the number of requests that will be left at the target at the end of the
	// horizon of those that are there now, plus what the target costs more than others, in
	// requests. See Pace.Left.
	Left float64
}

// Room returns how many requests all nodes together may send to a target within a horizon so
// that their first events still arrive within the bound, 0 if that of the first one does not.
// load is the number of requests at the target.
//
// Two things limit it: the engine reads one prompt after the other, and requests beyond the
// free slots wait until others end.
func (pace Pace) Room(load int, predicted, bound, horizon time.Duration) float64 {
	if predicted > bound {
		return 0
	}
	left := (horizon + bound - predicted).Seconds()
	read := (time.Duration(pace.MeanPromptTokens) * pace.ReadPerToken).Seconds()
	room := left / max(read, minRequestTime.Seconds())
	if pace.Slots > 0 {
		writing := (time.Duration(pace.Events) * pace.Pass / time.Duration(pace.Slots)).Seconds()
		room = min(room, float64(max(0, pace.Slots-load))+left/max(read+writing, minRequestTime.Seconds()))
	}
	return max(1, room)
}

// minRequestTime bounds the room of an engine whose pace is not known.
const minRequestTime = time.Millisecond

// Left returns how many of the requests at a target have not ended after the horizon.
func (pace Pace) Left(load int, horizon time.Duration) float64 {
	writing := max(time.Duration(pace.Events)*pace.Pass, minRequestTime)
	return float64(load) * max(0, 1-horizon.Seconds()/writing.Seconds())
}

// Spread chooses among places for a request of those that all nodes are expected to send within
// the horizon, which is the time that it takes until they see each other's requests.
//
// It answers load that changes faster than nodes see it. With the least loaded target, even
// the better one of a few random ones, all nodes send their requests to the same targets until
// their new loads have reached them: 83 nodes sent one group some 170 requests in 250 ms while
// the others were late. Spread deals the expected requests so that all targets have the same
// load in the end, each within its room. Requests beyond all rooms get no target. Each
// node decides by draw, a random number in [0, 1) of the request, so that no word between
// the nodes is needed.
//
// It returns the index of a place, or false if the request is beyond the rooms.
func Spread(places []Place, expected, draw float64) (int, bool) {
	total := 0.0
	for _, place := range places {
		total += place.Room
	}
	if total == 0 {
		return 0, false
	}
	// A lone request counts as one that is expected.
	expected = max(1, expected)
	level := fillLevel(places, min(expected, total))
	position := draw * expected
	if total > expected {
		position = draw * fill(places, level)
	}
	last, found := 0, false
	for index, place := range places {
		part := place.part(level)
		if part > 0 {
			last, found = index, true
		}
		if position < part {
			return index, true
		}
		position -= part
	}
	// Rounding may leave the last request without a place.
	return last, found && total > expected
}

// part returns how many of the expected requests a place gets at a level.
func (place Place) part(level float64) float64 { return min(place.Room, max(0, level-place.Left)) }

func fill(places []Place, level float64) float64 {
	sum := 0.0
	for _, place := range places {
		sum += place.part(level)
	}
	return sum
}

// fillSteps bounds the search of a level: its error is the 2^-30th part of the highest one.
const fillSteps = 30

// fillLevel returns the load up to which the places are filled by a number of requests.
func fillLevel(places []Place, requests float64) float64 {
	low, high := 0.0, 0.0
	for _, place := range places {
		high = max(high, place.Left+place.Room)
	}
	for range fillSteps {
		middle := (low + high) / 2
		if fill(places, middle) < requests {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}
