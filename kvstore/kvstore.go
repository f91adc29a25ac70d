// Package kvstore is the client for the services of the platform: its key-value
// store, its list of VMs and its weight store.
//
// Only this package defines the wire format. Other packages use the Store and
// VMList interfaces and the sealed interface PutOutcome, which separates a write
// that was refused from a write whose effect is unknown.
//
// A Client makes each call at most once to an endpoint. When an endpoint fails,
// a read is retried at the next one. A write is retried there only if no byte of
// it can have been sent.
//
// # Usage
//
//	client, err := kvstore.NewClient(kvstore.ClientConfig{
//		Addresses: []string{"10.0.0.1:80", "10.0.0.2:80"},
//		Timeout:   2 * time.Second,
//	})
//	if err != nil {
//		return err
//	}
//	defer client.Close()
//	switch outcome := client.Put(ctx, request).(type) {
//	case kvstore.Written:
//		use(outcome.Revision)
//	case kvstore.Unknown:
//		readBack(request.Key)
//	}
package kvstore
