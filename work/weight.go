package work

import "github.com/catkingap/catkingap/intake"

const (
	// jobWeight is above what an owner keeps of a job beside its steps and tasks.
	jobWeight = 1280
	// stepWeight is above the memory of a Step, of 104 bytes, and of what an owner keeps of
	// it.
	stepWeight = 256
	// taskWeight is above what an owner keeps of a task and its run.
	taskWeight = 800
	// indexWeight is above the memory of an index of a step and of its reverse.
	indexWeight = 32
)

// Weight returns an upper bound of the memory that the job takes at the owner of its workers.
func (j *Job) Weight() intake.Bytes {
	weight := jobWeight + len(j.Payload) + taskWeight*j.Tasks()
	for _, s := range j.Steps {
		weight += stepWeight + indexWeight*len(s.After) + len(s.Label) + len(s.Rack)
	}
	return intake.Bytes(weight)
}
