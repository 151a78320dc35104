// Package integration tests the built binary as real processes behind a proxy
// that injects faults.
package integration
