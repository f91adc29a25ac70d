// Package engine is the client for the model engines on target VMs: reports,
// orders, generated streams and their cancellation.
//
// The wire format of the engines lives only in this package. A ControlClient
// reads reports and sends orders for the leader of a fabric domain; its
// OrderOutcome separates an order that was refused from one whose effect is
// not known. A Generator makes one stream for each attempt at a draft, each on
// a connection of its own, because a kept connection may have gone silent.
//
// # Usage
//
//	client, err := engine.NewControlClient(engine.ControlConfig{Timeout: time.Second})
//	report, err := client.Report(ctx, "10.0.1.7:7000")
//	switch outcome := client.SendOrder(ctx, "10.0.1.7:7000", order).(type) {
//	case engine.OrderFenced:
//		// another leader's number is higher: outcome.Fence
//	}
//
//	stream, err := generator.Generate(ctx, "10.0.1.7:7000", request)
//	for {
//		piece, err := stream.Next()
//		...
//	}
package engine
