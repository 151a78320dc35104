package standin_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/standin"
)

// sendOrder sends an order to a worker and returns the status of its answer.
func sendOrder(w *standin.Worker, id, path, body string) int {
	request := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	request.Header.Set("X-Expect-Instance", id)
	answer := httptest.NewRecorder()
	w.Handler().ServeHTTP(answer, request)
	return answer.Code
}

// TestOverlaps starts a task of 400 ms on one worker with token 7, and later on
// another worker with token 9.
func TestOverlaps(t *testing.T) {
	const stop = `{"Task":"t","Run":1,"FencingToken":7}`
	tests := map[string]struct {
		// lease is the lease of the first run in milliseconds.
		lease string
		// stopped is when the first run is stopped, restarted when the second one
		// starts.
		stopped, restarted time.Duration
		want               time.Duration
	}{
		"both active":                       {lease: "900", restarted: 300 * time.Millisecond, want: 100 * time.Millisecond},
		"the first was done":                {lease: "900", restarted: 400 * time.Millisecond},
		"the first was stopped":             {lease: "900", stopped: 50 * time.Millisecond, restarted: 60 * time.Millisecond},
		"the first was stopped after":       {lease: "900", stopped: 62 * time.Millisecond, restarted: 60 * time.Millisecond, want: 2 * time.Millisecond},
		"the lease of the first has lapsed": {lease: "200", restarted: 200 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				recorder := standin.NewRunRecorder()
				worker := func(id string) *standin.Worker {
					return standin.NewWorker(standin.WorkerConfig{ID: id, Cores: 1000, Speed: 1, Recorder: recorder, MaxLease: time.Second, RunTime: func(string) (time.Duration, int) {
						return 400 * time.Millisecond, 500
					}})
				}
				began := time.Now()
				a, b := worker("a"), worker("b")
				if test.stopped > 0 {
					time.AfterFunc(test.stopped, func() { sendOrder(a, "a", "/run-stop", stop) })
				}
				is.Equal(sendOrder(a, "a", "/run-start", `{"Task":"t","Run":1,"FencingToken":7,"UntilMs":`+test.lease+`}`), http.StatusOK)
				time.Sleep(test.restarted)
				is.Equal(sendOrder(b, "b", "/run-start", `{"Task":"t","Run":1,"FencingToken":9,"UntilMs":1000}`), http.StatusOK)
				time.Sleep(time.Second)
				overlaps := recorder.Overlaps(time.Now())
				if test.want == 0 {
					is.Equal(len(overlaps), 0)
					return
				}
				is.Equal(len(overlaps), 1)
				o := overlaps[0]
				is.Equal(o.Duration, test.want)
				is.Equal([]string{o.First.Worker, o.Second.Worker}, []string{"a", "b"})
				is.Equal([]int64{o.First.Token, o.Second.Token}, []int64{7, 9})
				is.Equal(o.Second.Began.Sub(began), test.restarted)
			})
		})
	}
}
