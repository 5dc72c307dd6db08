package e2e

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

const (
	innerPort   = 17720
	frontPort   = 18161
	readyPort   = 18167
	controlPort = 18166
	// bindOffset is added to the inner port of a daemon behind a proxy.
	bindOffset = 1000
	hostName   = "fleet.example"
)

// claimPort is listened on for as long as a fleet uses a loopback network.
const claimPort = 17700

// claimNetwork returns the number of a loopback network that no other fleet
// uses, of this test process or of another one on the machine.
func claimNetwork(t *testing.T) int {
	t.Helper()
	for network := 1; network < 255; network++ {
		claim, err := net.Listen("tcp", fmt.Sprintf("127.78.%d.1:%d", network, claimPort))
		if err != nil {
			continue
		}
		t.Cleanup(func() { _ = claim.Close() })
		return network
	}
	t.Fatal("no loopback network is free")
	return 0
}

// platformNode is one daemon with its settings file.
type platformNode struct {
	*process
	role string
	ip   string
	zone string
	data string
	link *link
}

// platformFleet is a deployment of separate processes before stand-in engines.
type platformFleet struct {
	t       *testing.T
	folder  string
	network int
	proxied bool
	control []*platformNode
	store   []*platformNode
	entry   []*platformNode
	engines []*platformEngine
	ledger  runLedger
	version atomic.Int64
	client  *http.Client
}

const zones = 3

// Two runs of these tests on one machine do not meet.
func TestFleetsReserveDistinctNetworks(t *testing.T) {
	if first, second := claimNetwork(t), claimNetwork(t); first == second {
		t.Fatalf("network %d was given out twice", first)
	}
}

func startPlatformFleet(t *testing.T, entries, engines int, proxied bool) *platformFleet {
	t.Helper()
	f := &platformFleet{
		t: t, folder: t.TempDir(), network: claimNetwork(t), proxied: proxied,
		client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	for i := range zones {
		f.control = append(f.control, f.newNode("control", 10+i, i))
		f.store = append(f.store, f.newNode("store", 20+i, i))
	}
	for i := range entries {
		f.entry = append(f.entry, f.newNode("entry", 30+i, i))
	}
	for _, n := range f.nodes() {
		f.startNode(n, true)
	}
	for i := range engines {
		f.engines = append(f.engines, startPlatformEngine(t, fmt.Sprintf("i-%d", i), zoneName(i), f.ip(100+i), f.operators(), &f.ledger))
	}
	f.configure()
	f.await("the entries serve", func() bool {
		for _, n := range f.entry {
			got := f.ask(n, "/resumable/", fmt.Sprintf("warm-%s-%d", n.name, time.Now().UnixNano()))
			if !got.complete {
				return false
			}
		}
		return true
	})
	return f
}

func zoneName(i int) string { return "zone-" + strconv.Itoa(i%zones) }

func (f *platformFleet) ip(host int) string { return fmt.Sprintf("127.78.%d.%d", f.network, host) }

func (f *platformFleet) nodes() []*platformNode {
	nodes := append([]*platformNode{}, f.control...)
	return append(append(nodes, f.store...), f.entry...)
}

func (f *platformFleet) newNode(role string, host, i int) *platformNode {
	name := fmt.Sprintf("%s-%d", role, i)
	return &platformNode{role: role, ip: f.ip(host), zone: zoneName(i), data: filepath.Join(f.folder, "data-"+name), process: &process{name: name}}
}

// startNode writes the settings of a node and starts its process.
func (f *platformFleet) startNode(n *platformNode, firstStart bool) {
	f.t.Helper()
	path := filepath.Join(f.folder, n.name+".toml")
	f.writeSettings(n, path, firstStart)
	args := []string{"node", n.role}
	if f.proxied && n.link == nil {
		n.link = startLink(f.t, n.inner(), net.JoinHostPort(n.ip, strconv.Itoa(innerPort+bindOffset)))
	}
	if n.link != nil {
		args = append(args, "-listen", n.link.target)
	}
	n.process = startDaemonWithEnv(f.t, f.folder, n.name, []string{"BRIARCROSS_NODE_FILE=" + path}, args...)
}

func (n *platformNode) inner() string { return net.JoinHostPort(n.ip, strconv.Itoa(innerPort)) }

func (n *platformNode) front() string { return net.JoinHostPort(n.ip, strconv.Itoa(frontPort)) }

func (n *platformNode) operators() string { return net.JoinHostPort(n.ip, strconv.Itoa(controlPort)) }

func (f *platformFleet) operators() []string {
	var addresses []string
	for _, n := range f.control {
		addresses = append(addresses, n.operators())
	}
	return addresses
}

func (f *platformFleet) writeSettings(n *platformNode, path string, firstStart bool) {
	f.t.Helper()
	text := fmt.Sprintf(`Node = %q
Ip = %q
Zone = %q
PortRange = [%d,%d]
Seeds = [%s]
Bootstrap = %v
DataDir = %q
BeatMs = %d
[Listen]
Front = %q
Ready = %q
Control = %q
[Tolerate]
Machines = 1
[Bounds]
GraceS = 8
StatusS = 120
CatchUpS = 4.5
`, n.name, n.ip, n.zone, innerPort, innerPort+15, `"`+strings.Join(f.operators(), `","`)+`"`, firstStart, n.data,
		beatInterval.Milliseconds(), n.front(), net.JoinHostPort(n.ip, strconv.Itoa(readyPort)), n.operators())
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

// configuration returns a configuration with a version; odd versions have one
// more route.
func platformConfiguration(version int64) string {
	extra := ""
	if version%2 == 1 {
		extra = fmt.Sprintf(`,{"Name":"odd","Host":%q,"PathPrefix":"/odd/","Kind":"streaming","TimeoutMs":4000,"GoalMs":500,"Service":%q,"Attempts":1}`, hostName, serviceName)
	}
	return fmt.Sprintf(`{"Version":%d,"Routes":[
{"Name":"resumable","Host":%q,"PathPrefix":"/resumable/","Kind":"streaming","TimeoutMs":4000,"GoalMs":500,"Service":%q,"Attempts":3,"Resumable":true},
{"Name":"once","Host":%q,"PathPrefix":"/once/","Kind":"streaming","TimeoutMs":4000,"GoalMs":500,"Service":%q,"Attempts":1},
{"Name":"jobs","Host":%q,"PathPrefix":"/jobs/","Kind":"bulk","TimeoutMs":10000,"GoalMs":500,"Service":%q,"Attempts":3,"RunTargetMs":10000,"KeepS":90}%s],
"Services":[{"Name":%q,"MaxConns":200,"Engine":{"Slots":8}}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304}}`,
		version, hostName, serviceName, hostName, serviceName, hostName, serviceName, extra, serviceName)
}

// configure has the next configuration accepted and returns its version.
func (f *platformFleet) configure() int64 {
	f.t.Helper()
	version := f.version.Add(1)
	f.await(fmt.Sprintf("version %d is accepted", version), func() bool {
		for _, n := range f.control {
			if n.frozen.Load() {
				continue
			}
			response, err := f.client.Post("http://"+n.operators()+"/Config.Replace", "application/json", strings.NewReader(platformConfiguration(version)))
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return true
			}
		}
		return false
	})
	return version
}

// readConfiguration returns what one control replica answers.
func (f *platformFleet) readConfiguration(n *platformNode) (status int, body string) {
	response, err := f.client.Get("http://" + n.operators() + "/Config.Read")
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(raw)
}

func (f *platformFleet) await(what string, condition func() bool) {
	f.t.Helper()
	(&fleet{t: f.t}).await(what, condition)
}

// streamed is an answer as a caller saw it.
type streamed struct {
	status   int
	complete bool
	stamp    string
	body     string
	err      error
}

// ask sends one request to an entry, each on a connection of its own.
func (f *platformFleet) ask(n *platformNode, prefix, id string) streamed {
	request, err := http.NewRequest(http.MethodPost, "http://"+n.front()+prefix+"x", strings.NewReader("prompt"))
	if err != nil {
		return streamed{err: err}
	}
	request.Host = hostName
	request.Header.Set(headerID, id)
	request.Header.Set(headerTime, "3500")
	return f.send(f.client, request)
}

func (f *platformFleet) send(client *http.Client, request *http.Request) streamed {
	response, err := client.Do(request)
	if err != nil {
		return streamed{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	return streamed{
		status: response.StatusCode, complete: err == nil && response.StatusCode == http.StatusOK,
		stamp: response.Header.Get(headerStamp), body: string(raw), err: err,
	}
}

// wholeStream returns the whole answer to a request.
func wholeStream(id string) string {
	var b bytes.Buffer
	for n := 1; n <= eventsOf(id); n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", n, eventText(id, n))
	}
	return b.String()
}
