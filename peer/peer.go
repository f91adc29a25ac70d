// Package peer keeps the TCP links between nodes and carries msgpack frames
// over them.
//
// A Mesh dials its targets, accepts connections and keeps one link for each
// pair of nodes. Each side sends a heartbeat every 250 ms, which echoes the
// other side's last one; a link that is silent for three heartbeats is closed
// and dialled anew. Frames are newest states: a queued frame is replaced by a
// newer one of the same subject, so that a slow peer delays nobody.
//
// The age of what a frame carries is bounded by Received.SentAfter, which
// needs no synchronized clocks.
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
