// Package demo runs a whole system in one process on the loopback interface:
// stand-ins for the platform and the backend servers, entry hosts in three data
// centres and a client that checks each answer.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/fx"

	"github.com/catkingap/catkingap/client"
	"github.com/catkingap/catkingap/entry"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/job"
	"github.com/catkingap/catkingap/network"
	"github.com/catkingap/catkingap/outcome"
	"github.com/catkingap/catkingap/repairlog"
	"github.com/catkingap/catkingap/resource"
	"github.com/catkingap/catkingap/settings"
	"github.com/catkingap/catkingap/standin"
	"github.com/catkingap/catkingap/storage"
)

// Config configures a Demo.
type Config struct {
	// Progress receives a line for each step of the demo.
	Progress io.Writer
	// Log receives the logs of the entry hosts.
	Log io.Writer
	// LogLevel replaces the default level of the logs.
	LogLevel string
	// Cross makes a backend server answer one task with the answer of another.
	Cross bool
}

// The sizes of the demo.
const (
	serversPerDataCentre = 2
	serverSlots          = 8
	largeTasks           = 520
	smallTasks           = 40
	logSeed              = 20261204
	outageTime           = 3 * time.Second
	writeTime            = 4 * time.Millisecond
	writesPerSecond      = 400
	membershipLag        = 2 * time.Second
	readyTimeout         = 10 * time.Second
	jobTimeout           = 30 * time.Second
	retryPause           = 200 * time.Millisecond
	poolName             = "groyne-log"
	teamName             = "kusweg"
)

// serverSpeeds are the speeds of the backend servers of each data centre.
var serverSpeeds = [serversPerDataCentre]float64{1, 0.6}

var dataCentres = []ident.DataCentre{"coast-a", "coast-b", "coast-c"}

// Demo is a running set of stand-ins and entry hosts.
type Demo struct {
	config   Config
	platform *standin.Platform
	address  string
	backends []*standin.Backend
	servers  []*http.Server
	hosts    []*entryHost
}

// entryHost is one entry host of the demo.
type entryHost struct {
	settings settings.Settings
	app      *fx.App
	network  *network.Severable
	url      string
	client   *client.Client
	killed   bool
}

// Summary is the result of the demo.
type Summary struct {
	Tasks     int     `json:"tasks"`
	Starts    int     `json:"starts"`
	Doubled   int     `json:"doubled"`
	Missing   int     `json:"missing"`
	Wrong     int     `json:"wrong"`
	OverIdeal float64 `json:"responseOverIdeal"`
	// Wasted counts messages to backend servers that were refused as not run.
	Wasted int `json:"wastedMessages"`
}

// Err returns an error with all counts unless each task started once and was
// answered correctly.
func (s Summary) Err() error {
	if s.Doubled == 0 && s.Missing == 0 && s.Wrong == 0 && s.Starts == s.Tasks {
		return nil
	}
	return errors.Newf("%d tasks: %d starts, %d doubled, %d missing, %d wrong", s.Tasks, s.Starts, s.Doubled, s.Missing, s.Wrong)
}

// Run runs the demo and returns its summary.
func Run(ctx context.Context, c Config) (Summary, error) {
	d := &Demo{config: c}
	defer d.stop()
	if err := d.start(ctx); err != nil {
		return Summary{}, err
	}
	return d.runJobs(ctx)
}

func (d *Demo) printf(format string, args ...any) {
	fmt.Fprintf(d.config.Progress, format+"\n", args...)
}

func (d *Demo) serveHTTP(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (d *Demo) start(ctx context.Context) error {
	var err error
	d.platform = standin.NewPlatform(standin.PlatformConfig{
		Table:         standin.TableConfig{WriteTime: writeTime, WritesPerSecond: writesPerSecond},
		MembershipLag: membershipLag,
	})
	if d.address, err = d.serveHTTP(d.platform.Handler()); err != nil {
		return err
	}
	for i, centre := range dataCentres {
		if err := d.startHost(ctx, ident.Host(fmt.Sprintf("entry-%d", i+1)), centre); err != nil {
			return err
		}
	}
	if err := d.createResources(ctx); err != nil {
		return err
	}
	for _, h := range d.hosts {
		if err := waitReady(ctx, h.client); err != nil {
			return err
		}
	}
	d.printf("%d entry hosts in %d data centres serve %d backend servers", len(d.hosts), len(dataCentres), len(d.backends))
	return nil
}

func (d *Demo) startHost(ctx context.Context, name ident.Host, centre ident.DataCentre) error {
	h := &entryHost{settings: settings.Default(), network: network.NewSeverable(network.Real{DialTimeout: entry.ConnectTimeout})}
	h.settings.Host, h.settings.DataCentre = name, centre
	h.settings.Listen = settings.Listen{API: "127.0.0.1:0", Peer: "127.0.0.1:0"}
	base := "http://" + d.address
	h.settings.Platform.Table, h.settings.Platform.Objects, h.settings.Platform.Membership = base, base+"/objects", base+"/members"
	h.settings.ConfigPoll = settings.Duration(100 * time.Millisecond)
	h.settings.UnreadyTime = 0
	if d.config.LogLevel != "" {
		h.settings.LogLevel = d.config.LogLevel
	}
	var listeners entry.Listeners
	h.app = entry.New(entry.Options{Settings: h.settings, Log: d.config.Log, Network: h.network}, fx.Populate(&listeners))
	if err := h.app.Start(ctx); err != nil {
		return err
	}
	api := listeners.API.Addr().String()
	h.url = "http://" + api
	h.client = newClient(h.url)
	d.platform.Members.Set(storage.TargetGroup{Targets: []string{listeners.Peer.Addr().String()}, Labels: map[string]string{
		storage.LabelID: string(name), storage.LabelRole: string(storage.EntryHost), storage.LabelAPI: api,
		storage.LabelDataCentre: string(centre), storage.LabelState: string(storage.Live),
	}})
	d.hosts = append(d.hosts, h)
	return nil
}

// createResources starts the backend servers and creates the resources.
func (d *Demo) createResources(ctx context.Context) error {
	objects := []resource.Object{
		{Kind: resource.KindTeam, Name: teamName, Spec: mustEncode(resource.TeamSpec{})},
		{Kind: resource.KindPool, Name: poolName, Spec: mustEncode(resource.PoolSpec{})},
		{Kind: resource.KindService, Name: poolName, Spec: mustEncode(resource.ServiceSpec{Pool: poolName, TimeoutMS: 10_000})},
	}
	for i, centre := range dataCentres {
		for k, speed := range serverSpeeds {
			name := fmt.Sprintf("runner-%d-%d", i+1, k+1)
			b := standin.NewBackend(standin.BackendConfig{Name: name, Slots: serverSlots, Speed: speed, Work: Work})
			address, err := d.serveHTTP(b.Handler())
			if err != nil {
				return err
			}
			d.backends = append(d.backends, b)
			objects = append(objects, resource.Object{Kind: resource.KindBackendServer, Name: name, Spec: mustEncode(resource.BackendServerSpec{
				Pool: poolName, Address: address, DataCentre: centre, Slots: serverSlots,
			})})
		}
	}
	for _, o := range objects {
		if _, err := d.hosts[0].client.Put(ctx, o); err != nil {
			return errors.Wrapf(err, "%s %s", o.Kind, o.Name)
		}
	}
	return nil
}

// Work is what the demo's backend servers run: it returns the answer to a repair
// log and its run time.
func Work(body []byte) ([]byte, time.Duration, error) {
	var l repairlog.Log
	if err := json.Unmarshal(body, &l); err != nil {
		return nil, 0, err
	}
	answer, err := repairlog.Answer(body)
	return answer, l.RunTime(), err
}

func mustEncode(spec any) json.RawMessage {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	return data
}

func waitReady(ctx context.Context, c *client.Client) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		err := c.Ready(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "entry host is not ready")
		case <-time.After(retryPause):
		}
	}
}

// Submission returns a job with one task for each log.
func Submission(key ident.JobKey, logs []repairlog.Log) *job.Submission {
	s := &job.Submission{Job: ident.Job{Team: teamName, Key: key}, Pool: poolName}
	for i, l := range logs {
		s.Tasks = append(s.Tasks, job.Task{
			Index: ident.TaskIndex(i), Payload: mustEncode(l), DeclaredMB: l.DeclaredMB, DeclaredMS: l.DeclaredMS,
		})
	}
	return s
}

// submit submits a job to the hosts in turn until it has an outcome.
func (d *Demo) submit(ctx context.Context, s *job.Submission, first int) (entry.JobAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	hosts := make([]*client.Client, 0, len(d.hosts))
	for i := range d.hosts {
		hosts = append(hosts, d.hosts[(first+i)%len(d.hosts)].client)
	}
	return client.SubmitAny(ctx, hosts, s, client.Retry{Pause: retryPause, Notify: func(e *outcome.Error) {
		d.printf("  %s: %v; the client asks the next host", s.Key, e)
	}})
}

// runJobs submits the jobs, injects the faults and checks the answers.
func (d *Demo) runJobs(ctx context.Context) (Summary, error) {
	logs := repairlog.Generate(logSeed, largeTasks+smallTasks)
	large := Submission("tide-2026-12-03", logs[:largeTasks])
	small := Submission("school-order-7", logs[largeTasks:])
	if d.config.Cross {
		d.backends[0].Faults.Set(standin.Faults{Mode: standin.Cross, Count: 2})
	}
	start := time.Now()
	var smallAnswer entry.JobAnswer
	var smallErr error
	var group sync.WaitGroup
	group.Go(func() {
		time.Sleep(time.Second)
		d.printf("entry-3 is killed while a client waits for it")
		group.Go(func() {
			smallAnswer, smallErr = d.submit(ctx, small, 2)
		})
		time.Sleep(5 * time.Millisecond)
		d.kill(2)
		time.Sleep(retryPause)
		d.printf("the platform is away for %s", outageTime)
		d.platform.SetFaults(standin.Faults{Mode: standin.Refuse})
		time.Sleep(outageTime)
		d.platform.SetFaults(standin.Faults{})
		d.printf("the platform is back")
	})
	d.printf("%s: %d tasks go to entry-1", large.Key, largeTasks)
	answer, err := d.submit(ctx, large, 0)
	took := time.Since(start)
	group.Wait()
	if err != nil {
		return Summary{}, errors.Wrapf(err, "job %s", large.Key)
	}
	d.printf("%s: %s after %s", large.Key, answer.State, took.Round(time.Millisecond))
	summary := d.checkAnswers(large, answer)
	summary.OverIdeal = float64(took) / float64(d.idealTime(logs[:largeTasks]))
	d.checkSmallJob(&summary, small, smallAnswer, smallErr)
	return summary, nil
}

// idealTime returns the run time of the tasks if all slots are always busy, but at
// least the longest run time of a task.
func (d *Demo) idealTime(logs []repairlog.Log) time.Duration {
	var total time.Duration
	var longest time.Duration
	for _, l := range logs {
		total += l.RunTime()
		longest = max(longest, l.RunTime())
	}
	capacity := 0.0
	for _, speed := range serverSpeeds {
		capacity += speed * serverSlots * float64(len(dataCentres))
	}
	return max(longest, time.Duration(float64(total)/capacity))
}

// checkAnswers compares the starts that the backend servers logged and the answers
// of a job with its tasks.
func (d *Demo) checkAnswers(s *job.Submission, answer entry.JobAnswer) Summary {
	summary := Summary{Tasks: len(s.Tasks)}
	starts := d.countStarts(s.Job)
	for _, t := range s.Tasks {
		count := starts[ident.Task{Job: s.Job, Index: t.Index}.String()]
		summary.Starts += count
		if count > 1 {
			summary.Doubled++
		}
	}
	answered := map[ident.TaskIndex]bool{}
	for _, a := range answer.Answers {
		answered[a.Index] = true
		if int(a.Index) >= len(s.Tasks) || repairlog.Check(s.Tasks[a.Index].Payload, a.Answer) != nil {
			summary.Wrong++
		}
	}
	summary.Missing = len(s.Tasks) - len(answered)
	for _, b := range d.backends {
		summary.Wasted += b.Refused()
	}
	return summary
}

// checkSmallJob checks the job whose entry host was killed: it may fail as a whole,
// but not partially, and none of its tasks may start twice.
func (d *Demo) checkSmallJob(summary *Summary, s *job.Submission, answer entry.JobAnswer, err error) {
	for _, count := range d.countStarts(s.Job) {
		if count > 1 {
			summary.Doubled++
		}
	}
	if err != nil {
		d.printf("%s: failed whole: %v", s.Key, err)
		return
	}
	part := d.checkAnswers(s, answer)
	summary.Wrong += part.Wrong
	summary.Missing += part.Missing
	d.printf("%s: %s", s.Key, answer.State)
}

// countStarts counts the starts of each task of a job.
func (d *Demo) countStarts(j ident.Job) map[string]int {
	counts := map[string]int{}
	for _, b := range d.backends {
		for _, s := range b.Starts() {
			if len(s.Task) > len(j.String()) && s.Task[:len(j.String())+1] == j.String()+"/" {
				counts[s.Task]++
			}
		}
	}
	return counts
}

// kill closes all connections of a host at once and removes it from the membership
// list.
func (d *Demo) kill(i int) {
	d.hosts[i].killed = true
	d.hosts[i].network.Sever()
	d.platform.Members.Remove(string(d.hosts[i].settings.Host))
}

func (d *Demo) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	for _, h := range d.hosts {
		if !h.killed {
			_ = h.app.Stop(ctx)
		}
	}
	for _, s := range d.servers {
		s.Close()
	}
}
