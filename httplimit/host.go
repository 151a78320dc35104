package httplimit

import (
	"math"
	"runtime/debug"

	"github.com/catkingap/catkingap/intake"
)

const (
	// memoryLimitShare is the share of the host's memory that is set as the soft memory
	// limit. Close to it, the garbage collector works harder.
	memoryLimitShare = 0.6
	// defaultMemory is the memory of a host if neither its settings nor the environment
	// of the process name any. A quarter of it holds the 100,000 tasks that may wait by
	// default, in jobs of 1,300 (152 MB by job.Weigh; 115 MB by CAPACITY.md).
	defaultMemory = 1 << 30
	// defaultDescriptors is the number of descriptors where the process limit can not be
	// read: that of the smallest machine.
	defaultDescriptors = 3075
)

// SetMemory sets the soft memory limit of the process for a host with the given memory. If
// that is zero, the limit stays as it is, and the memory follows from it. SetMemory
// returns the memory of the host.
func SetMemory(memory intake.Bytes) intake.Bytes {
	if memory > 0 {
		debug.SetMemoryLimit(int64(float64(memory) * memoryLimitShare))
		return memory
	}
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
		return intake.Bytes(float64(limit) / memoryLimitShare)
	}
	return defaultMemory
}

// Descriptors returns the number of descriptors that the process may open: what its settings
// name, if that is above zero, and at most its limit.
func Descriptors(named intake.Descriptors) intake.Descriptors {
	if limit := processDescriptors(); named <= 0 || named > limit {
		return limit
	}
	return named
}
