// Package peer maintains TCP links between nodes and exchanges msgpack frames
// over them.
//
// A Mesh dials its targets, accepts connections and keeps one link to each
// peer. Each side sends a heartbeat every 250 ms, which echoes the last one
// that it received from the other side. A link on which nothing arrives for
// three heartbeat intervals is closed and dialled again. Each frame carries the
// latest state of its subject, so a queued frame is replaced by a newer one of
// the same subject. Sending never blocks: a slow peer does not delay the node
// or its other peers.
//
// Received.SentAfter bounds the age of the data in a frame. It is a time of the
// receiver's clock and does not require synchronized clocks.
//
// # Usage
//
//	mesh, err := peer.New(peer.Config{
//		Name: "node-1", Incarnation: "1", FailureDomain: "fd-1",
//		Listen: "10.0.0.1:7400",
//	})
//	if err != nil {
//		return err
//	}
//	go mesh.Run(ctx)
//	mesh.SetTargets([]peer.Target{{Name: "node-2", Address: "10.0.0.2:7400"}})
//	for event := range mesh.Events() {
//		switch event := event.(type) {
//		case peer.LinkUp:
//			mesh.Send(event.Hello.Name, head)
//		case peer.Received:
//			handle(event.Frame)
//		}
//	}
package peer
