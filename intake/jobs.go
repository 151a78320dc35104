package intake

import "time"

const (
	// jobParts is the inverse of the share of the host's memory that large jobs of other
	// hosts' callers may take. With budgetParts, what lives stays under the soft memory
	// limit.
	jobParts = 8
	// smallJob is the weight up to which a job is not charged: that of the usual jobs, of up
	// to some hundred tasks.
	smallJob = 64 << 10
)

// JobBudget is the memory that the large jobs of other hosts' callers may take together on
// the owner of their workers. It is safe for concurrent use.
type JobBudget struct {
	// budget is nil if there is no bound.
	budget *Budget
}

// NewJobBudget returns the budget of a host with the given memory. Zero means no bound.
func NewJobBudget(memory Bytes) JobBudget {
	if memory == 0 {
		return JobBudget{}
	}
	return JobBudget{&Budget{limit: memory / jobParts, unfinished: map[*Claim]struct{}{}}}
}

// Admit charges a job of the given weight until release is called. It returns false if the
// job does not fit.
func (b JobBudget) Admit(now time.Time, weight Bytes) (release func(), ok bool) {
	if b.budget == nil || weight <= smallJob {
		return func() {}, true
	}
	c := b.budget.Open(now, func() {})
	if c.Grow(now, weight) && c.Finish() {
		return c.Release, true
	}
	c.Release()
	return nil, false
}
