package sharing

import (
	"slices"
	"time"
)

const (
	// span is the length of the spans in which demand is counted.
	span = time.Second
	// spans is the number of spans whose median is the usual demand. Bursts last 4 to
	// 8 s: fewer than half of the spans are part of one.
	spans = 20
	// sparseShare is the part of the mean demand that a queue counts with at least. The
	// median of a queue that gets a job every few seconds is zero.
	sparseShare = 1.0 / 3
)

// demand learns the usual demand of a queue, as the median over the last spans.
type demand struct {
	// sums is a ring of the core-seconds submitted in each span. The span with number n is
	// at n modulo spans, and number is that of the present one.
	sums   [spans]float64
	number int64
	// complete is the number of complete spans that are known, and began is when the
	// demand of the pool was first counted.
	complete int
	began    time.Time
	// changed is true if a span has begun since the usual demand was last read.
	changed bool
}

func newDemand(began time.Time) demand {
	return demand{began: began, number: began.UnixNano() / int64(span)}
}

// advance begins new spans until the present one.
func (d *demand) advance(now time.Time) {
	number := now.UnixNano() / int64(span)
	if number <= d.number {
		return
	}
	passed := number - d.number
	for i := range min(passed, spans) {
		d.sums[(d.number+1+i)%spans] = 0
	}
	if now.Sub(d.began) >= span {
		// The span in which counting began is not complete.
		d.complete = int(min(number-d.began.UnixNano()/int64(span)-1, spans-1))
	}
	d.number, d.changed = number, true
}

// add counts submitted work.
func (d *demand) add(now time.Time, coreSeconds float64) {
	d.advance(now)
	d.sums[d.number%spans] += coreSeconds
}

// usual returns the usual demand in core-seconds per second. Until a span is complete, it
// is the demand so far.
func (d *demand) usual() float64 {
	if d.complete == 0 {
		sum := 0.0
		for _, x := range d.sums {
			sum += x
		}
		return sum
	}
	var known []float64
	sum := 0.0
	for i := 1; i <= d.complete; i++ {
		x := d.sums[((d.number-int64(i))%spans+spans)%spans]
		known = append(known, x)
		sum += x
	}
	slices.Sort(known)
	middle := len(known) / 2
	median := known[middle]
	if len(known)%2 == 0 {
		median = (known[middle-1] + known[middle]) / 2
	}
	return max(median, sum/float64(len(known))*sparseShare)
}

// isUnused returns true if nothing was submitted in all spans.
func (d *demand) isUnused() bool {
	return !slices.ContainsFunc(d.sums[:], func(x float64) bool { return x > 0 })
}
