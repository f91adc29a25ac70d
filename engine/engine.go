// Package engine is the client of the model engines on target VMs. It reads
// their reports, sends orders, and starts and cancels generated streams.
//
// The wire format of the engines is defined only in this package. A
// ControlClient reads reports and sends orders for the leader of a fabric
// domain; its OrderOutcome distinguishes an order that was refused from one
// that may have been accepted. A Generator starts one stream for each attempt
// at a draft. Each stream has its own connection, because a reused connection
// may have become unresponsive.
//
// # Usage
//
//	client, err := engine.NewControlClient(engine.ControlConfig{Timeout: time.Second})
//	report, err := client.Report(ctx, "10.0.1.7:7000")
//	switch outcome := client.SendOrder(ctx, "10.0.1.7:7000", order).(type) {
//	case engine.OrderFenced:
//		// Another leader has the higher fencing number outcome.Fence.
//	}
//
//	generator := engine.NewGenerator(engine.GeneratorConfig{})
//	stream, err := generator.Generate(ctx, "10.0.1.7:7000", request, nil)
//	defer stream.Close()
//	for {
//		piece, err := stream.Next()
//		...
//	}
package engine
