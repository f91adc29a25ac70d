// Package engine is the client for the model engines on target VMs: reports,
// orders, generated streams and their cancellation.
//
// The wire format of the engines lives only in this package.
package engine
