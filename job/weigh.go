package job

import "github.com/catkingap/catkingap/intake"

const (
	// decodedTaskBytes is above the memory of a Task, of 48 bytes, in a list that the decoder
	// grows.
	decodedTaskBytes = 128
	// queuedTaskBytes is the memory of a task that waits. CAPACITY.md has 967 bytes.
	queuedTaskBytes = 1000
)

// Weigh returns an upper bound of the memory that a submission takes beside its texts, which
// are not longer than its body, until it is answered.
func Weigh(body []byte) intake.Bytes {
	tasks, _ := intake.CountItems(body)
	return intake.Bytes(decodedTaskBytes*tasks + queuedTaskBytes*min(tasks, MaxTasks) + len(body))
}
