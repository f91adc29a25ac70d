// Package route decides which target receives a request.
//
// Table is the immutable snapshot that traffic reads: the configuration in
// force, the serving groups with their grants, and the service runners.
package route
