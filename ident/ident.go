// Package ident defines the types of the ids and units that several packages
// share.
package ident

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"sync/atomic"
)

// Host names one entry host process in the membership list.
type Host string

// DataCentre names one data centre.
type DataCentre string

// Region names a group of data centres.
type Region string

// Team names one team, a customer with its own quota.
type Team string

// Service names one service that callers send requests to.
type Service string

// Pool names one pool of workers or backend servers.
type Pool string

// Server names one backend server or worker of a pool.
type Server string

// JobKey is the idempotency key that a client gives to a job. It is unique
// within its team.
type JobKey string

// Request identifies one request on one link. The answer must echo it.
type Request string

// Epoch counts the hosts that have held a job, starting at 1.
type Epoch int64

// Revision is a revision of the platform's table. Zero means that there is no
// row.
type Revision int64

// TaskIndex is the position of a task in its job, starting at 0.
type TaskIndex int

// Job identifies a job by its team and its key.
type Job struct {
	Team Team   `json:"team" msgpack:"team"`
	Key  JobKey `json:"key" msgpack:"key"`
}

// String returns the job as team/key.
func (j Job) String() string {
	return string(j.Team) + "/" + string(j.Key)
}

// Task identifies a task by its job and its index.
type Task struct {
	Job   Job       `json:"job" msgpack:"job"`
	Index TaskIndex `json:"index" msgpack:"index"`
}

// String returns the task as team/key/index.
func (t Task) String() string {
	return t.Job.String() + "/" + strconv.Itoa(int(t.Index))
}

const tokenBytes = 8

// NewToken returns a random token of 16 hexadecimal digits.
func NewToken() string {
	var token [tokenBytes]byte
	// Read of crypto/rand never fails on supported systems.
	_, _ = rand.Read(token[:])
	return hex.EncodeToString(token[:])
}

// Sequence generates request ids that are unique over all processes: a random
// prefix for the process and a counter.
type Sequence struct {
	prefix  string
	counter atomic.Uint64
}

// NewSequence returns a sequence with a new random prefix.
func NewSequence() *Sequence {
	return &Sequence{prefix: NewToken() + "-"}
}

// Next returns the next request id.
func (s *Sequence) Next() Request {
	return Request(s.prefix + strconv.FormatUint(s.counter.Add(1), 36))
}
