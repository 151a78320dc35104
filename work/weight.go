package work

import "github.com/catkingap/catkingap/intake"

const (
	// stepWeight is above the memory of a Step, of 104 bytes, and of what an owner keeps of
	// it.
	stepWeight = 256
	// taskWeight is above what an owner keeps of a task.
	taskWeight = 128
	// indexWeight is the memory of an index of a step.
	indexWeight = 8
)

// Weight returns an estimate of the memory that the job takes at the owner of its workers.
func (j *Job) Weight() intake.Bytes {
	weight := len(j.Payload) + taskWeight*j.Tasks()
	for _, s := range j.Steps {
		weight += stepWeight + indexWeight*len(s.After) + len(s.Label) + len(s.Rack)
	}
	return intake.Bytes(weight)
}
