package fleet_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestRestartedWorkerRefusesEarlierStarts restarts a worker under its id and address, while its
// owner reads the table. The new incarnation must refuse a start that was meant for the earlier
// one and comes late (TWICE: it was carried out), and its owner must not take its own higher
// token for that of another owner.
func TestRestartedWorkerRefusesEarlierStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		time.Sleep(startTime)
		name := workerName("coast-a", 0)
		var token int64
		for _, r := range w.store.History() {
			if r.Key == "owner.coast-a" {
				token = r.Ver
			}
		}
		late := fmt.Sprintf(`{"Task":"1000mslate.0.0.0","Run":1,"Spec":"","UntilMs":60000,"FencingToken":%d}`, token)
		is.NoErr(w.workerServers[name].Close())
		w.workers[name].PowerOff()
		w.addWorker("coast-a", name)
		time.Sleep(3 * time.Second)
		r := httptest.NewRequest(http.MethodPost, "/run-start", strings.NewReader(late))
		r.Header.Set("X-Expect-Instance", name)
		answer := httptest.NewRecorder()
		w.workers[name].Handler().ServeHTTP(answer, r)
		is.Equal(answer.Code, http.StatusConflict)
		is.True(strings.Contains(answer.Body.String(), "fence"))
		is.Equal(len(w.ownerChanges()), 0)
	})
}
