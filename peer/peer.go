// Package peer keeps the TCP links between nodes and carries msgpack frames
// over them.
package peer
