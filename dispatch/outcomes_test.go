package dispatch

// outcomeCounts counts the outcomes of jobs.
type outcomeCounts struct {
	jobs, inTime, late, refused, failed int
	// refusedAfter is the sum of the times after which callers were refused, each
	// divided by the objective.
	refusedAfter float64
}

// outcomes counts the outcomes of the jobs of a kind, or of all kinds, that were
// submitted between two seconds.
func (l *loadSim) outcomes(name string, from, to float64) outcomeCounts {
	var f outcomeCounts
	for _, a := range l.answers {
		s := a.submitted.Sub(origin).Seconds()
		if a.returned || s < from || s >= to || (name != "" && a.kind != name) {
			continue
		}
		f.jobs++
		switch {
		case a.result == Completed && a.took <= a.objective:
			f.inTime++
		case a.result == Completed:
			f.late++
		case a.result == Refused:
			f.refused++
			f.refusedAfter += a.took.Seconds() / a.objective.Seconds()
		default:
			f.failed++
		}
	}
	return f
}
