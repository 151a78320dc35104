package crash

// MayShare returns true if a task may start on a worker that has the given numbers of runs and
// of suspects among them. Parameter idle is true if it is to start on an idle worker.
func (s Standing) MayShare(idle bool, runs, suspects int) bool {
	switch {
	case s == Clear:
		return true
	case idle || s == Isolated:
		return runs == 0
	}
	return suspects == 0
}
