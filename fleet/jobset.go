package fleet

import (
	"sync"

	"github.com/catkingap/catkingap/work"
)

// jobSet is a set of jobs. Its zero value is empty.
type jobSet struct {
	mutex sync.Mutex
	ids   map[work.ID]struct{}
}

func (s *jobSet) add(id work.ID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.ids == nil {
		s.ids = map[work.ID]struct{}{}
	}
	s.ids[id] = struct{}{}
}

func (s *jobSet) has(id work.ID) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_, ok := s.ids[id]
	return ok
}
