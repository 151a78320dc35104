package integration

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestLargestLegalBodyIsServedInCalm guards against limits that refuse a single client inside the
// documented ones. The host has less memory than the smallest machine, of 144 MB, and the body has the
// largest legal size and 1,300 steps.
func TestLargestLegalBodyIsServedInCalm(t *testing.T) {
	const steps = 1300
	is := is.New(t)
	h := newOverloadServe(t)
	h.eventuallyAnswered("calm")
	body := `{"BestEffort":true,"Steps":[` + strings.TrimSuffix(strings.Repeat(`{"Count":1,"Cpu":1,"EstimatedMs":10},`, steps), ",") + `]}`
	body += strings.Repeat(" ", crowdBodyBytes-len(body))
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s%s%016x", h.target.address, rigPrefix, h.numbers.Add(1)), strings.NewReader(body))
	is.NoErr(err)
	request.Host = rigCaller
	request.Header.Set("X-Deadline-Ms", "30000")
	is.True(isCompleted(http.DefaultClient, request, func(data []byte) bool { return string(data) == `{"State":"completed"}` }))
}
