package explain

import (
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Path is the path of the handler at the metrics address of a host.
const Path = "/explain"

// ErrUnknownQueue means that the host has no queue of the name.
var ErrUnknownQueue = errors.New("the host has no such queue")

// Handler returns a handler that answers with JSON.
func Handler(answer func(Request) (*Answer, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q, err := Parse(r.URL.Query())
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		a, err := answer(q)
		if err != nil {
			http.Error(w, err.Error(), http.StatusNotFound)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(a)
	})
}
