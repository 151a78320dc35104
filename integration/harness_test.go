package integration

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/catkingap/catkingap/client"
	"github.com/catkingap/catkingap/demo"
	"github.com/catkingap/catkingap/entry"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/job"
	"github.com/catkingap/catkingap/repairlog"
	"github.com/catkingap/catkingap/resource"
	"github.com/catkingap/catkingap/standin"
	"github.com/catkingap/catkingap/storage"
)

// binary is the path of the binary under test.
var binary string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	logrus.SetOutput(io.Discard)
	folder, err := os.MkdirTemp("", "catkingap")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(folder)
	binary = filepath.Join(folder, "catkingap")
	build := exec.Command("go", "build", "-tags", "nomsgpack", "-o", binary, "github.com/catkingap/catkingap")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

const (
	startTimeout = 20 * time.Second
	testTimeout  = 60 * time.Second
	pollInterval = 20 * time.Millisecond
	teamName     = "kusweg"
	poolName     = "groyne-log"
	serviceName  = "groyne-log"
)

// process is one process of the binary.
type process struct {
	t       testing.TB
	command *exec.Cmd
	lines   chan string
	exited  chan struct{}
	mutex   sync.Mutex
	output  bytes.Buffer
}

// start starts the binary and reads both output streams line by line.
func start(t testing.TB, args ...string) *process {
	t.Helper()
	return startProgram(t, binary, args...)
}

// startProgram is start for another program.
func startProgram(t testing.TB, program string, args ...string) *process {
	t.Helper()
	p := &process{t: t, command: exec.Command(program, args...), lines: make(chan string, 4096), exited: make(chan struct{})}
	reader, writer := io.Pipe()
	p.command.Stdout, p.command.Stderr = writer, writer
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		scanner := bufio.NewScanner(reader)
		scanner.Buffer(nil, 1<<20)
		for scanner.Scan() {
			p.mutex.Lock()
			p.output.WriteString(scanner.Text() + "\n")
			p.mutex.Unlock()
			select {
			case p.lines <- scanner.Text():
			default:
			}
		}
	}()
	go func() {
		_ = p.command.Wait()
		writer.Close()
		close(p.exited)
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGKILL)
		<-p.exited
		if t.Failed() {
			p.mutex.Lock()
			defer p.mutex.Unlock()
			t.Logf("output of %s:\n%s", strings.Join(args, " "), p.output.String())
		}
	})
	return p
}

// signal sends a signal. It does nothing if the process has ended.
func (p *process) signal(s syscall.Signal) {
	_ = p.command.Process.Signal(s)
}

// waitForLine waits for an output line that contains text and returns it.
func (p *process) waitForLine(text string) string {
	p.t.Helper()
	timeout := time.After(startTimeout)
	for {
		select {
		case l := <-p.lines:
			if strings.Contains(l, text) {
				return l
			}
		case <-p.exited:
			p.t.Fatalf("process ended before it printed %q", text)
		case <-timeout:
			p.t.Fatalf("process did not print %q", text)
		}
	}
}

// proxy is a TCP proxy in front of one address that can inject faults.
type proxy struct {
	t testing.TB
	*toxiproxy.Proxy
}

// newProxy starts a proxy in front of upstream.
func newProxy(t testing.TB, upstream string) *proxy {
	t.Helper()
	p := toxiproxy.NewProxy()
	p.Name, p.Listen, p.Upstream = t.Name()+upstream, "127.0.0.1:0", upstream
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Stop)
	return &proxy{t: t, Proxy: p}
}

// dropData keeps connections open but drops all data in one direction:
// "upstream" (towards the server) or "downstream".
func (p *proxy) dropData(stream string) {
	p.t.Helper()
	body := fmt.Sprintf(`{"name":"silence-%s","type":"timeout","stream":%q,"attributes":{"timeout":0}}`, stream, stream)
	if _, err := p.Toxics.AddToxicJson(strings.NewReader(body)); err != nil {
		p.t.Fatal(err)
	}
}

// heal removes all faults.
func (p *proxy) heal() {
	p.Toxics.ResetToxics()
}

// entryHost is one entry host process and the proxies around it.
type entryHost struct {
	*process
	name     ident.Host
	api      string
	client   *client.Client
	platform *proxy
	peer     *proxy
}

// backendServer is one backend server process and the proxy in front of it.
type backendServer struct {
	*process
	name  string
	url   string
	proxy *proxy
}

// clusterConfig configures a cluster.
type clusterConfig struct {
	hosts    int
	backends int
	slots    int
	// settings is appended to the settings file of each host.
	settings string
	// program starts the hosts. Empty means the binary under test.
	program string
}

// cluster is a platform, entry hosts and backend servers, each a process.
type cluster struct {
	t        testing.TB
	is       *is.I
	platform string
	hosts    []*entryHost
	backends []*backendServer
	// replaced holds the processes of backend servers that were killed and
	// restarted.
	replaced []*process
}

// newCluster starts the platform, the backend servers and the entry hosts,
// declares the resources and waits until every host has them. Hosts are
// assigned to the three data centres in turn.
func newCluster(t testing.TB, c clusterConfig) *cluster {
	t.Helper()
	k := &cluster{t: t, is: is.New(t)}
	platformProcess := start(t, "standin", "platform")
	k.platform = strings.TrimPrefix(platformProcess.waitForLine("listening"), "listening ")
	for i := range c.hosts {
		k.startHost(fmt.Sprintf("entry-%d", i+1), c)
	}
	k.declare(resource.KindTeam, teamName, resource.TeamSpec{})
	k.declare(resource.KindPool, poolName, resource.PoolSpec{})
	k.declare(resource.KindService, serviceName, resource.ServiceSpec{Pool: poolName})
	for i := range c.backends {
		k.startBackend(fmt.Sprintf("runner-%d", i+1), c.slots)
	}
	for _, h := range k.hosts {
		k.eventually("ready", func() bool { return h.client.Ready(t.Context()) == nil })
		k.eventually("configured", func() bool {
			_, err := h.client.Get(t.Context(), resource.KindBackendServer, fmt.Sprintf("runner-%d", c.backends))
			return err == nil
		})
	}
	return k
}

// forSubtest returns a copy of the cluster that reports to a subtest.
func (k *cluster) forSubtest(t *testing.T) *cluster {
	sub := *k
	sub.t, sub.is = t, is.New(t)
	return &sub
}

var dataCentres = []string{"coast-a", "coast-b", "coast-c"}

// startHost starts an entry host and adds it to the membership list.
func (k *cluster) startHost(name string, c clusterConfig) *entryHost {
	k.t.Helper()
	h := &entryHost{name: ident.Host(name), platform: newProxy(k.t, k.platform)}
	centre := dataCentres[len(k.hosts)%len(dataCentres)]
	base := "http://" + h.platform.Listen
	file := filepath.Join(k.t.TempDir(), name+".yaml")
	text := fmt.Sprintf("host: %s\ndataCentre: %s\nlisten: {api: '127.0.0.1:0', peer: '127.0.0.1:0'}\n"+
		"platform: {table: '%s', objects: '%s/objects', membership: '%s/members'}\nunreadyTime: 200ms\n%s",
		name, centre, base, base, base, c.settings)
	k.is.NoErr(os.WriteFile(file, []byte(text), 0o600))
	h.process = startProgram(k.t, cmp.Or(c.program, binary), "entry", "--settings", file)
	var listening struct {
		Fields struct{ API, Peer string }
	}
	k.is.NoErr(json.Unmarshal([]byte(h.waitForLine(`"listening"`)), &listening))
	h.api = "http://" + listening.Fields.API
	h.client = client.New(&http.Client{Transport: &http.Transport{}}, h.api)
	h.peer = newProxy(k.t, listening.Fields.Peer)
	k.listMember(storage.TargetGroup{Targets: []string{h.peer.Listen}, Labels: map[string]string{
		storage.LabelID: name, storage.LabelRole: string(storage.EntryHost), storage.LabelAPI: listening.Fields.API,
		storage.LabelDataCentre: centre, storage.LabelState: string(storage.Live),
	}})
	k.hosts = append(k.hosts, h)
	return h
}

// startBackend starts a backend server and declares its resource.
func (k *cluster) startBackend(name string, slots int) *backendServer {
	k.t.Helper()
	p := start(k.t, "standin", "backend", "--name", name, "--slots", fmt.Sprint(slots))
	address := strings.TrimPrefix(p.waitForLine("listening"), "listening ")
	b := &backendServer{process: p, name: name, url: "http://" + address, proxy: newProxy(k.t, address)}
	k.declare(resource.KindBackendServer, name, resource.BackendServerSpec{
		Pool: poolName, Address: b.proxy.Listen, DataCentre: ident.DataCentre(dataCentres[len(k.backends)%len(dataCentres)]), Slots: slots,
	})
	k.backends = append(k.backends, b)
	return b
}

// declare creates a resource through the first entry host.
func (k *cluster) declare(kind resource.Kind, name string, spec any) {
	k.t.Helper()
	data, err := json.Marshal(spec)
	k.is.NoErr(err)
	_, err = k.hosts[0].client.Put(k.t.Context(), resource.Object{Kind: kind, Name: name, Spec: data})
	k.is.NoErr(err)
}

// listMember adds or replaces a member of the membership list.
func (k *cluster) listMember(g storage.TargetGroup) {
	k.t.Helper()
	k.putJSON("http://"+k.platform+"/members", g)
}

// setFaults sets the faults of the stand-in at a URL.
func (k *cluster) setFaults(url string, f standin.Faults) {
	k.t.Helper()
	k.putJSON(url, f)
}

// setTableFaults sets the faults of the table.
func (k *cluster) setTableFaults(f standin.Faults) {
	k.t.Helper()
	k.setFaults("http://"+k.platform+"/table"+standin.PathFaults, f)
}

func (k *cluster) putJSON(url string, value any) {
	k.t.Helper()
	data, err := json.Marshal(value)
	k.is.NoErr(err)
	request, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(data))
	k.is.NoErr(err)
	response, err := http.DefaultClient.Do(request)
	k.is.NoErr(err)
	response.Body.Close()
	k.is.Equal(response.StatusCode, http.StatusNoContent)
}

// eventually fails the test unless f returns true within testTimeout.
func (k *cluster) eventually(what string, f func() bool) {
	k.t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !f() {
		if time.Now().After(deadline) {
			k.t.Fatalf("not %s within %s", what, testTimeout)
		}
		time.Sleep(pollInterval)
	}
}

// startsByTask counts the starts of each task in the logs of all backend
// servers.
func (k *cluster) startsByTask() map[string]int {
	k.t.Helper()
	counts := map[string]int{}
	for _, b := range k.backends {
		response, err := http.Get(b.url + "/starts")
		k.is.NoErr(err)
		starts, err := standin.DecodeStarts(response.Body)
		response.Body.Close()
		k.is.NoErr(err)
		for _, s := range starts {
			counts[s.Task]++
		}
	}
	return counts
}

// newSubmission returns a job of n repair logs generated from seed. A run above
// zero replaces the run time of each task.
func newSubmission(key string, seed uint64, n int, run time.Duration) *job.Submission {
	logs := repairlog.Generate(seed, n)
	for i := range logs {
		if run > 0 {
			logs[i].RunTimeMS = int(run.Milliseconds())
		}
	}
	return demo.Submission(ident.JobKey(key), logs)
}

// submit submits a job to a host and waits for its outcome.
func (k *cluster) submit(h *entryHost, s *job.Submission) (entry.JobAnswer, error) {
	ctx, cancel := context.WithTimeout(k.t.Context(), testTimeout)
	defer cancel()
	return h.client.Submit(ctx, s)
}

// checkComplete checks that a job is complete, that each task has its own
// answer, and that each task started exactly once.
func (k *cluster) checkComplete(s *job.Submission, answer entry.JobAnswer) {
	k.t.Helper()
	k.is.Equal(answer.State, job.Complete)
	k.is.Equal(len(answer.Answers), len(s.Tasks))
	starts := k.startsByTask()
	for i, a := range answer.Answers {
		k.is.Equal(int(a.Index), i)
		k.is.NoErr(repairlog.Check(s.Tasks[i].Payload, a.Answer))
		k.is.Equal(starts[ident.Task{Job: s.Job, Index: a.Index}.String()], 1)
	}
}

// checkStartedOnce checks that no task of any job started more than once.
func (k *cluster) checkStartedOnce() {
	k.t.Helper()
	for task, count := range k.startsByTask() {
		if task != "" && count > 1 {
			k.t.Errorf("task %s started %d times", task, count)
		}
	}
}
