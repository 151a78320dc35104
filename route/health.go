package route

import (
	"time"

	"github.com/catkingap/catkingap/ejection"
	"github.com/catkingap/catkingap/ident"
)

// record updates the state of a server after an entry has ended.
func (p *Pool[Item]) record(now time.Time, s *server, e End) {
	change := ejection.None
	switch e.Result {
	case Answered:
		s.pauses = 0
		s.recordRunTime(e.Took)
		p.slowRunTime.Add(e.Took)
		change = p.detector.Answered(s.Name)
	case Failed:
		change = p.detector.Failed(now, s.Name)
	case Lost:
		// The task took at least that long. The pause keeps a server that loses
		// tasks at once from attracting all work with its free slots.
		if e.Took.Seconds() > s.runTime {
			s.recordRunTime(e.Took)
		}
		s.pause(now, p.config.BusyPause)
		change = p.detector.Failed(now, s.Name)
	case Unreachable:
		s.pause(now, p.config.BusyPause)
		change = p.detector.Failed(now, s.Name)
	case Refused:
		s.pause(now, p.config.BusyPause)
		p.detector.Withdrawn(s.Name)
	case Withdrawn:
		p.detector.Withdrawn(s.Name)
	}
	if change != ejection.None {
		p.changes = append(p.changes, ServerChange{s.Name, change})
	}
}

// ServerChange reports that a server was ejected or has returned.
type ServerChange struct {
	Server ident.Server
	Change ejection.Change
}

// Changes returns the changes of servers since the last call.
func (p *Pool[Item]) Changes() []ServerChange {
	changes := p.changes
	p.changes = nil
	return changes
}
