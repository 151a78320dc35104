//go:build !unix

package httplimit

import "github.com/catkingap/catkingap/intake"

// processDescriptors returns the limit of the process.
func processDescriptors() intake.Descriptors { return defaultDescriptors }
