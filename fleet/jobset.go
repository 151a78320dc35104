package fleet

import (
	"sync"

	"github.com/catkingap/catkingap/work"
)

// jobSet is a set of jobs. Its zero value is empty.
type jobSet struct {
	ids sync.Map
}

func (s *jobSet) add(id work.ID) { s.ids.Store(id, struct{}{}) }

func (s *jobSet) has(id work.ID) bool {
	_, ok := s.ids.Load(id)
	return ok
}
