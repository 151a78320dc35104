package explain_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/explain"
	"github.com/catkingap/catkingap/work"
)

// TestRequestSurvivesItsURL checks that a host reads what the command was asked.
func TestRequestSurvivesItsURL(t *testing.T) {
	is := is.New(t)
	r := explain.Request{Queue: "q", Step: work.Step{
		Count: 3, Size: work.Size{Cores: 1500, Memory: 64}, Estimate: 20 * time.Millisecond, Label: "l", Rack: "r",
	}}
	got, err := explain.Parse(r.Values())
	is.NoErr(err)
	is.Equal(got, r)
	for name, change := range map[string]func(*explain.Request){
		"no tasks":          func(r *explain.Request) { r.Step.Count = 0 },
		"negative cores":    func(r *explain.Request) { r.Step.Size.Cores = -1 },
		"negative estimate": func(r *explain.Request) { r.Step.Estimate = -1 },
	} {
		t.Run(name, func(t *testing.T) {
			bad := r
			change(&bad)
			_, err := explain.Parse(bad.Values())
			is.New(t).True(err != nil)
		})
	}
}

// TestText checks that the text says what an operator asks for: where, why not elsewhere, how
// old that is, the reservation, and the refusal.
func TestText(t *testing.T) {
	tests := map[string]struct {
		answer explain.Answer
		want   string
	}{
		"starts": {
			answer: explain.Answer{
				Queue: "q", DataCentre: "a", Host: "h", Owners: []explain.Owner{{DataCentre: "a", Host: "h", FreeTasks: 3, AgeMs: 20}},
				Placement: &explain.Placement{Worker: "w1", Workers: []explain.Worker{
					{ID: "w1", FreeCores: 32_000, AgeMs: 7}, {ID: "w2", FreeCores: 8_500, ReservedFor: "j", RuledOut: "reserved"},
				}},
			},
			want: "queue q: to the owner of a, h\n  owner of a, h: room for 3 tasks 20 ms ago\nthe first task starts at once on worker w1\n" +
				"  worker w1: 32.000 cores free 7 ms ago\n  worker w2: 8.500 cores free 0 ms ago, reserved for j: reserved\n",
		},
		"refused": {
			answer: explain.Answer{Queue: "q", DataCentre: "a", Host: "h", Placement: &explain.Placement{Refusal: "too late", RetryAfterMs: 300}},
			want:   "queue q: to the owner of a, h\nrefused by the owner: too late; Retry-After 300 ms\n",
		},
		"another host": {
			answer: explain.Answer{Queue: "q", DataCentre: "a", Host: "h"},
			want:   "queue q: to the owner of a, h\nthe owner's workers are known to its host only\n",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var text strings.Builder
			is.NoErr(test.answer.Write(&text))
			is.Equal(text.String(), test.want)
		})
	}
}
