package crash

// MayShare returns true if a task may start on a worker, which may be idle or run a suspect.
// Parameter onIdle is true if the task is to start on an idle worker.
func (s Standing) MayShare(onIdle, isIdle, hasSuspect bool) bool {
	switch {
	case s == Clear:
		return true
	case onIdle || s == Isolated:
		return isIdle
	}
	return !hasSuspect
}
