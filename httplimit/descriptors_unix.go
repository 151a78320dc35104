//go:build unix

package httplimit

import (
	"math"
	"syscall"

	"github.com/catkingap/catkingap/intake"
)

// processDescriptors returns the limit of the process.
func processDescriptors() intake.Descriptors {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return defaultDescriptors
	}
	// The field is signed on some systems.
	return intake.Descriptors(min(uint64(limit.Cur), math.MaxInt32))
}
