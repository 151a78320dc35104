package entry

import (
	"encoding/json"
	"net/http"

	"github.com/gin-gonic/gin"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/job"
	"github.com/catkingap/catkingap/outcome"
)

// JobAnswer is the response to a submission.
type JobAnswer struct {
	ident.Job
	State   job.State      `json:"state"`
	Answers []job.Answer   `json:"answers,omitempty"`
	Error   *outcome.Error `json:"error,omitempty"`
}

// pathJobs is the path for submissions.
const pathJobs = "/v1/jobs"

// routeJobs adds the routes for jobs.
func (a *API) routeJobs(r *gin.Engine) {
	r.POST(pathJobs, a.submit)
	r.GET("/v1/jobs/:team/:key", a.getJob)
	r.DELETE("/v1/jobs/:team/:key", a.cancelJob)
}

func (a *API) submit(c *gin.Context) {
	data, ok := a.readBody(c, job.Weigh)
	if !ok {
		return
	}
	var s job.Submission
	err := json.Unmarshal(data, &s)
	if refusal := a.shutdown.refusal(); refusal != nil {
		refuse(c, s.Refusal(refusal))
		return
	}
	if err != nil {
		refuse(c, outcome.New(outcome.NotRun, outcome.Invalid, "the body is not a job: %v", err))
		return
	}
	c.Set(contextJob, s.Job)
	o := a.jobs.Submit(c.Request.Context(), &s)
	if o.State != job.Complete {
		refuse(c, o.Error)
		return
	}
	c.JSON(http.StatusOK, JobAnswer{Job: s.Job, State: o.State, Answers: o.Answers})
}

func jobOf(c *gin.Context) ident.Job {
	j := ident.Job{Team: ident.Team(c.Param("team")), Key: ident.JobKey(c.Param("key"))}
	c.Set(contextJob, j)
	return j
}

func (a *API) getJob(c *gin.Context) {
	row, _, err := a.jobs.Read(c.Request.Context(), jobOf(c))
	if err != nil {
		refuse(c, outcome.New(outcome.NotRun, outcome.StoreDown, "%v", err).WithRetryAfter(storeRetryDelay))
		return
	}
	if row == nil {
		refuse(c, outcome.New(outcome.NotRun, outcome.NotFound, "there is no job %s", jobOf(c)))
		return
	}
	c.JSON(http.StatusOK, row)
}

func (a *API) cancelJob(c *gin.Context) {
	if e := a.jobs.Cancel(c.Request.Context(), jobOf(c)); e != nil {
		refuse(c, e)
		return
	}
	c.Status(http.StatusAccepted)
}
