package intake

import "time"

// jobParts is the inverse of the share of the host's memory that the jobs of its ownerships may
// take. With budgetParts, what lives stays under the soft memory limit.
const jobParts = 8

// largeJob is the weight above which a job is offered only to an ownership that has said that it
// has memory for it. It is that of some 1,300 tasks.
const largeJob = 1 << 20

// FreeMemory is the memory for large jobs that an ownership has left: negative if there is none,
// and zero if that is not known or has no bound.
type FreeMemory Bytes

// Fits returns false if a job of the given weight is known not to fit.
func (f FreeMemory) Fits(weight Bytes) bool {
	return f == 0 || weight <= largeJob || weight <= Bytes(f)
}

// JobBudget is the memory that all jobs at the ownerships of a host may take together. It is safe
// for concurrent use.
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

// Used returns the memory that is charged.
func (b JobBudget) Used() Bytes {
	if b.budget == nil {
		return 0
	}
	return b.budget.Used()
}

// Free returns the memory that is left for large jobs.
func (b JobBudget) Free() FreeMemory {
	if b.budget == nil {
		return 0
	}
	if free := b.budget.limit - b.budget.limit/reserveParts - b.budget.Used(); free > 0 {
		return FreeMemory(free)
	}
	return -1
}

// Admit charges a job of the given weight until release is called. It returns false if the
// job does not fit.
func (b JobBudget) Admit(now time.Time, weight Bytes) (release func(), ok bool) {
	if b.budget == nil {
		return func() {}, true
	}
	c := b.open(now)
	if c.Grow(now, weight) {
		return c.Release, true
	}
	c.Release()
	return nil, false
}

func (b JobBudget) open(now time.Time) *Claim {
	c := b.budget.Open(now, func() {})
	c.Finish()
	return c
}

// StoredJobs is the memory of the stored jobs of one ownership. They do not take the part of the
// budget that is reserved for small requests.
type StoredJobs struct {
	// claim is nil if there is no bound.
	claim *Claim
}

// OpenStored returns the memory of an ownership without stored jobs.
func (b JobBudget) OpenStored(now time.Time) StoredJobs {
	if b.budget == nil {
		return StoredJobs{}
	}
	return StoredJobs{b.open(now)}
}

// TryAdd charges a job of the given weight. It returns false if the job does not fit.
func (s StoredJobs) TryAdd(now time.Time, weight Bytes) bool {
	return s.claim == nil || s.claim.Grow(now, weight)
}

// Set charges the given weight of all jobs, in place of what was charged before, whether it fits
// or not.
func (s StoredJobs) Set(weight Bytes) {
	if s.claim != nil {
		s.claim.set(weight)
	}
}

// Close gives all memory back.
func (s StoredJobs) Close() {
	if s.claim != nil {
		s.claim.Release()
	}
}
