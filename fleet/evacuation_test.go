package fleet_test

import (
	"bytes"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/ledger"
	"github.com/catkingap/catkingap/standin"
	"github.com/catkingap/catkingap/work"
)

// evacuatedZone is the data centre that the tests evacuate.
const evacuatedZone = "coast-a"

// evacuate has the operator request the evacuation of a data centre.
func (w *world) evacuate(zone string) { w.store.Evacuate(zone) }

// endEvacuation has the operator withdraw the request.
func (w *world) endEvacuation(zone string) { w.store.EndEvacuation(zone) }

// startsIn returns the times of the starts in a data centre from a time on, in order.
func (w *world) startsIn(zone string, from time.Time) []time.Time {
	var starts []time.Time
	for _, runs := range w.recorder.Runs() {
		for _, r := range runs {
			if zoneOf(r.Worker) == zone && !r.Began.Before(from) {
				starts = append(starts, r.Began)
			}
		}
	}
	return starts
}

// isOf returns true for the sites of the hosts of a data centre.
func isHostOf(zone, site string) bool { return zoneOf(site) == zone && isHost(site) }

// cutFromTable cuts sites off from the table until the returned function is called.
func (w *world) cutFromTable(isCut func(site string) bool) func() {
	w.network.Cut(func(from, to string) bool {
		from, to = siteOf(from), siteOf(to)
		return (from == storeSite && isCut(to)) || (to == storeSite && isCut(from))
	})
	return func() { w.network.Cut(nil) }
}

// TestEvacuation evacuates a data centre under load while a fault happens, and ends the
// evacuation later. From the bound on nothing may start there, most jobs must be completed
// elsewhere, and once the evacuation has ended the workers must get work again.
func TestEvacuation(t *testing.T) {
	const (
		lasts = 6 * time.Second
		rest  = 3 * time.Second
	)
	tests := map[string]struct {
		// before happens in the second before the request, during right after it, and atEnd
		// instead of the end of the evacuation.
		before, during, atEnd func(w *world)
		// bound is when the evacuation must be in force after the request, and back the time
		// from its end to a job that must start in the data centre.
		bound, back time.Duration
		served      float64
	}{
		"no fault": {bound: 50 * time.Millisecond, back: 500 * time.Millisecond, served: 0.99},
		"the owner dies before it reads the request": {
			during: func(w *world) { w.kill(w.owner(evacuatedZone)) },
			bound:  50 * time.Millisecond, back: 500 * time.Millisecond, served: 0.95,
		},
		"the owner dies before the request": {
			before: func(w *world) {
				time.Sleep(900 * time.Millisecond)
				w.kill(w.owner(evacuatedZone))
			},
			bound: 50 * time.Millisecond, back: 500 * time.Millisecond, served: 0.95,
		},
		"the owner is frozen": {
			during: func(w *world) {
				name := w.owner(evacuatedZone).name
				w.cut(3*time.Second, func(from, to string) bool { return from == name || to == name })
			},
			bound: time.Second, back: 500 * time.Millisecond, served: 0.9,
		},
		"the owner is cut off from the table": {
			before: func(w *world) {
				name := w.owner(evacuatedZone).name
				time.AfterFunc(lasts, w.cutFromTable(func(site string) bool { return site == name }))
			},
			bound: 500 * time.Millisecond, back: 500 * time.Millisecond, served: 0.98,
		},
		"its hosts are cut off from the table": {
			before: func(w *world) {
				time.AfterFunc(lasts, w.cutFromTable(func(site string) bool { return isHostOf(evacuatedZone, site) }))
			},
			bound: 500 * time.Millisecond, back: 500 * time.Millisecond, served: 0.98,
		},
		"its hosts are cut off from the table as it ends": {
			atEnd: func(w *world) {
				time.AfterFunc(rest, w.cutFromTable(func(site string) bool { return isHostOf(evacuatedZone, site) }))
				w.endEvacuation(evacuatedZone)
			},
			bound: 50 * time.Millisecond, back: time.Second, served: 0.98,
		},
		"the table is slow": {
			before: func(w *world) { w.store.Faults.Set(standin.Faults{Delay: 400 * time.Millisecond}) },
			bound:  time.Second, back: 1500 * time.Millisecond, served: 0.99,
		},
		"the table loses answers": {
			before: func(w *world) { w.loseAnswers(3 * time.Second) },
			bound:  time.Second, back: 500 * time.Millisecond, served: 0.99,
		},
		"the table loses its history": {
			during: func(w *world) { w.store.Forget() },
			bound:  50 * time.Millisecond, back: 500 * time.Millisecond, served: 0.99,
		},
		"the table loses its history as it ends": {
			atEnd: func(w *world) {
				w.endEvacuation(evacuatedZone)
				w.store.Forget()
			},
			bound: 50 * time.Millisecond, back: 500 * time.Millisecond, served: 0.99,
		},
		"the table is away as it ends": {
			atEnd: func(w *world) {
				w.store.Faults.Set(standin.Faults{Mode: standin.Refuse})
				w.endEvacuation(evacuatedZone)
				time.Sleep(time.Second)
				w.store.Faults.Set(standin.Faults{})
			},
			bound: 50 * time.Millisecond, back: 1500 * time.Millisecond, served: 0.99,
		},
		"all hosts are restarted": {
			during: func(w *world) {
				time.Sleep(time.Second)
				w.killAll(300 * time.Millisecond)
			},
			bound: 50 * time.Millisecond, back: 500 * time.Millisecond, served: 0.8,
		},
		"all hosts are restarted while the table is away": {
			during: func(w *world) {
				time.Sleep(time.Second)
				w.store.Faults.Set(standin.Faults{Mode: standin.Refuse})
				w.killAll(300 * time.Millisecond)
				time.Sleep(2 * time.Second)
				w.store.Faults.Set(standin.Faults{})
			},
			bound: 50 * time.Millisecond, back: 500 * time.Millisecond, served: 0.5,
		},
		"all hosts are restarted and read the operator's rows late": {
			during: func(w *world) {
				time.Sleep(time.Second)
				w.network.Drop(func(_, to string, data []byte) bool {
					return siteOf(to) == storeSite && bytes.Contains(data, []byte("Table=op&"))
				})
				w.killAll(300 * time.Millisecond)
				time.Sleep(3 * time.Second)
				w.network.Drop(nil)
			},
			bound: 50 * time.Millisecond, back: 500 * time.Millisecond, served: 0.5,
		},
		"the configuration changes": {
			before: func(w *world) { w.configure(2) },
			during: func(w *world) {
				w.configure(3)
				time.Sleep(time.Second)
				w.store.Put("op", "config", "not a configuration")
			},
			bound: 50 * time.Millisecond, back: 500 * time.Millisecond, served: 0.99,
		},
		"the request cannot be parsed": {
			during: func(w *world) { w.store.Put("op", "evacuate/"+evacuatedZone, "soon") },
			bound:  50 * time.Millisecond, back: 500 * time.Millisecond, served: 0.99,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t)
				time.Sleep(startTime)
				var requested, ended time.Time
				back := newJob("back", 1, 60*time.Millisecond)
				go func() {
					time.Sleep(time.Second)
					if test.before != nil {
						go test.before(w)
					}
					time.Sleep(time.Second)
					w.evacuate(evacuatedZone)
					requested = time.Now()
					if test.during != nil {
						go test.during(w)
					}
					time.Sleep(lasts)
					ended = time.Now()
					if test.atEnd == nil {
						w.endEvacuation(evacuatedZone)
					} else {
						test.atEnd(w)
					}
					time.Sleep(ended.Add(test.back).Sub(time.Now()))
					m := w.owner(evacuatedZone)
					m.submitter.Submit(m.ctx, back, time.Now(), time.Now().Add(rest))
				}()
				w.load(20, 2*time.Second+lasts+rest)
				for _, at := range w.startsIn(evacuatedZone, requested.Add(test.bound)) {
					if at.Before(ended) {
						t.Fatalf("start %s after the request", at.Sub(requested))
					}
				}
				runs := w.recorder.Runs()[work.Task{Job: back.ID}.String()]
				is.Equal(len(runs), 1)
				is.Equal(zoneOf(runs[0].Worker), evacuatedZone)
				is.True(w.completedShare() >= test.served)
				_, _, doubled := w.recorder.Summary()
				is.Equal(doubled, nil)
			})
		})
	}
}

// TestEvacuationOfAnUnknownDataCentre guards against a request for a data centre that does not
// exist having an effect on others.
func TestEvacuationOfAnUnknownDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		w.evacuate("elsewhere")
		time.Sleep(startTime)
		w.load(20, 3*time.Second)
		is.Equal(w.completedShare(), 1.0)
	})
}

// TestWaitingJobsLeaveAnEvacuatedDataCentre evacuates a data centre whose workers are all busy, as
// are all others. A job that waits there must wait elsewhere at once, so that it starts as soon as
// workers of another data centre come free, before that owner has told of them.
func TestWaitingJobsLeaveAnEvacuatedDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const places = 2 * workersPerZone
		is := is.New(t)
		w := newWorld(t)
		time.Sleep(startTime)
		w.fill(evacuatedZone, places)
		w.fill("coast-c", 2*places) // has the longest queue
		b := w.owner("coast-b")
		short := w.submitAndWait(b, newJob("short", places, 1200*time.Millisecond))
		time.Sleep(settledTime)
		j := newJob("waits", 2, 100*time.Millisecond)
		answer := w.submitAndWait(w.owner(evacuatedZone), j)
		time.Sleep(20 * time.Millisecond)
		w.evacuate(evacuatedZone)
		is.Equal(short(), dispatch.Completed)
		is.Equal(answer(), dispatch.Completed)
		runs := w.recorder.Runs()
		free := time.Now()
		for _, x := range runs {
			if work.JobOfTask(x[0].Task) == "1200msshort" && x[0].Ended.Before(free) {
				free = x[0].Ended
			}
		}
		first := runs[work.Task{Job: j.ID}.String()][0]
		is.Equal(zoneOf(first.Worker), "coast-b")
		is.True(first.Began.Sub(free) < 20*time.Millisecond)
	})
}

// TestJobThatOnlyAnEvacuatedDataCentreCanRun submits such a job. It must be refused at once,
// not fail or wait.
func TestJobThatOnlyAnEvacuatedDataCentreCanRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		w.addWorkerOfKind(evacuatedZone, evacuatedZone+".worker-only", "only")
		time.Sleep(startTime)
		w.evacuate(evacuatedZone)
		time.Sleep(time.Second)
		for _, z := range zones {
			m, j, began := w.owner(z), newJob("j-"+z, 1, 100*time.Millisecond), time.Now()
			j.Steps[0].Label = "only"
			r := m.submitter.Submit(m.ctx, j, began, began.Add(10*time.Second))
			is.Equal(r.Result, dispatch.Refused)
			is.True(r.RetryAfter > 0)
			is.True(time.Since(began) < 100*time.Millisecond)
		}
	})
}

// TestBegunJobInAnEvacuation evacuates a data centre in which a job has run its first step. The
// second step cannot start there, and the first one must not run again: the caller must hear at
// once that the job was interrupted.
func TestBegunJobInAnEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		time.Sleep(startTime)
		m, j := w.owner(evacuatedZone), newJob("j", 1, 400*time.Millisecond)
		j.Steps = append(j.Steps, j.Steps[0])
		j.Steps[1].After = []int{0}
		answer := make(chan dispatch.Reply)
		go func() { answer <- m.submitter.Submit(m.ctx, j, time.Now(), time.Now().Add(time.Minute)) }()
		time.Sleep(100 * time.Millisecond)
		w.evacuate(evacuatedZone)
		began := time.Now()
		r := <-answer
		is.Equal(r.Result, dispatch.Interrupted)
		is.True(time.Since(began) < time.Second)
		starts, done, _ := w.recorder.Summary()
		is.Equal(starts, 1)
		is.Equal(done, 1)
	})
}

// TestStoredJobsLeaveAnEvacuatedDataCentre evacuates a data centre that has stored jobs, also
// such that its owner dies. All must be completed, and none may start there.
func TestStoredJobsLeaveAnEvacuatedDataCentre(t *testing.T) {
	tests := map[string]func(w *world){
		"no fault":       func(*world) {},
		"the owner dies": func(w *world) { w.kill(w.owner(evacuatedZone)) },
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t)
				time.Sleep(startTime)
				var requested time.Time
				go func() {
					time.Sleep(2 * time.Second)
					w.evacuate(evacuatedZone)
					requested = time.Now()
					fault(w)
				}()
				accepted := w.storeJobs(10, 4*time.Second, 1000)
				time.Sleep(15 * time.Second)
				is.True(len(accepted) > 20)
				for _, id := range accepted {
					is.Equal(w.state(id), ledger.Completed)
				}
				is.Equal(len(w.startsIn(evacuatedZone, requested.Add(50*time.Millisecond))), 0)
				_, _, doubled := w.recorder.Summary()
				is.Equal(doubled, nil)
			})
		})
	}
}
