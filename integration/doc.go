// Package integration runs the built binary as real processes behind proxies
// that inject faults.
package integration
