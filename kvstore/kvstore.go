// Package kvstore is the client for what the platform provides: its
// key-value store, its list of VMs and its weight store.
//
// The wire format lives only in this package. Other packages use the Store
// and VMList interfaces and the sealed PutOutcome, which separates a write
// that was refused from a write whose effect is not known.
//
// A Client makes each call at most once to an endpoint. Reads go on to the
// next endpoint when one fails; a write does so only when no byte of it can
// have been sent.
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
