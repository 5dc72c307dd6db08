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
	internalPort  = 17720
	callersPort   = 18161
	readyPort     = 18167
	operatorsPort = 18166
	// bindPortOffset is added to the inner port of a daemon behind a proxy.
	bindPortOffset = 1000
	routeHost      = "fleet.example"
)

// networkLockPort is listened on for as long as a fleet uses a loopback network.
const networkLockPort = 17700

// reserveNetwork returns the number of a loopback network that no other fleet
// uses, of this test process or of another one on the machine.
func reserveNetwork(t *testing.T) int {
	t.Helper()
	for network := 1; network < 255; network++ {
		lock, err := net.Listen("tcp", fmt.Sprintf("127.78.%d.1:%d", network, networkLockPort))
		if err != nil {
			continue
		}
		t.Cleanup(func() { _ = lock.Close() })
		return network
	}
	t.Fatal("no loopback network is free")
	return 0
}

// platformNode is one daemon with its settings file.
type platformNode struct {
	*process
	role    string
	ip      string
	zone    string
	dataDir string
	proxy   *proxy
}

// platformFleet is a deployment of separate processes before stand-in engines.
type platformFleet struct {
	t             *testing.T
	dir           string
	network       int
	proxied       bool
	controls      []*platformNode
	stores        []*platformNode
	entries       []*platformNode
	engines       []*fakeEngine
	ledger        runLedger
	configVersion atomic.Int64
	client        *http.Client
}

const zoneCount = 3

// Two runs of these tests on one machine do not meet.
func TestFleetsReserveDistinctNetworks(t *testing.T) {
	if first, second := reserveNetwork(t), reserveNetwork(t); first == second {
		t.Fatalf("network %d was given out twice", first)
	}
}

func startPlatformFleet(t *testing.T, entries, engines int, proxied bool) *platformFleet {
	t.Helper()
	f := &platformFleet{
		t: t, dir: t.TempDir(), network: reserveNetwork(t), proxied: proxied,
		client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	for i := range zoneCount {
		f.controls = append(f.controls, f.newNode("control", 10+i, i))
		f.stores = append(f.stores, f.newNode("store", 20+i, i))
	}
	for i := range entries {
		f.entries = append(f.entries, f.newNode("entry", 30+i, i))
	}
	for _, n := range f.nodes() {
		f.startNode(n, true)
	}
	for i := range engines {
		f.engines = append(f.engines, startFakeEngine(t, fmt.Sprintf("i-%d", i), zoneName(i), f.hostIP(100+i), f.operatorsAddresses(), &f.ledger))
	}
	f.replaceConfiguration()
	f.await("the entries serve", func() bool {
		for _, n := range f.entries {
			got := f.sendRequest(n, "/resumable/", fmt.Sprintf("warm-%s-%d", n.name, time.Now().UnixNano()))
			if !got.complete {
				return false
			}
		}
		return true
	})
	return f
}

func zoneName(i int) string { return "zone-" + strconv.Itoa(i%zoneCount) }

func (f *platformFleet) hostIP(host int) string { return fmt.Sprintf("127.78.%d.%d", f.network, host) }

func (f *platformFleet) nodes() []*platformNode {
	nodes := append([]*platformNode{}, f.controls...)
	return append(append(nodes, f.stores...), f.entries...)
}

func (f *platformFleet) newNode(role string, host, i int) *platformNode {
	name := fmt.Sprintf("%s-%d", role, i)
	return &platformNode{role: role, ip: f.hostIP(host), zone: zoneName(i), dataDir: filepath.Join(f.dir, "data-"+name), process: &process{name: name}}
}

// startNode writes the settings of a node and starts its process.
func (f *platformFleet) startNode(n *platformNode, firstStart bool) {
	f.t.Helper()
	settingsPath := filepath.Join(f.dir, n.name+".toml")
	f.writeSettings(n, settingsPath, firstStart)
	args := []string{"node", n.role}
	if f.proxied && n.proxy == nil {
		n.proxy = startProxy(f.t, n.internalAddress(), net.JoinHostPort(n.ip, strconv.Itoa(internalPort+bindPortOffset)))
	}
	if n.proxy != nil {
		args = append(args, "-listen", n.proxy.target)
	}
	n.process = startDaemonWithEnv(f.t, f.dir, n.name, []string{"BRIARCROSS_NODE_FILE=" + settingsPath}, args...)
}

func (n *platformNode) internalAddress() string {
	return net.JoinHostPort(n.ip, strconv.Itoa(internalPort))
}

func (n *platformNode) callersAddress() string {
	return net.JoinHostPort(n.ip, strconv.Itoa(callersPort))
}

func (n *platformNode) operatorsAddress() string {
	return net.JoinHostPort(n.ip, strconv.Itoa(operatorsPort))
}

func (f *platformFleet) operatorsAddresses() []string {
	var addresses []string
	for _, n := range f.controls {
		addresses = append(addresses, n.operatorsAddress())
	}
	return addresses
}

func (f *platformFleet) writeSettings(n *platformNode, path string, firstStart bool) {
	f.t.Helper()
	settings := fmt.Sprintf(`Node = %q
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
`, n.name, n.ip, n.zone, internalPort, internalPort+15, `"`+strings.Join(f.operatorsAddresses(), `","`)+`"`, firstStart, n.dataDir,
		heartbeatInterval.Milliseconds(), n.callersAddress(), net.JoinHostPort(n.ip, strconv.Itoa(readyPort)), n.operatorsAddress())
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

// configuration returns a configuration with a version; odd versions have one
// more route.
func platformConfiguration(version int64) string {
	oddRoute := ""
	if version%2 == 1 {
		oddRoute = fmt.Sprintf(`,{"Name":"odd","Host":%q,"PathPrefix":"/odd/","Kind":"streaming","TimeoutMs":4000,"GoalMs":500,"Service":%q,"Attempts":1}`, routeHost, serviceName)
	}
	return fmt.Sprintf(`{"Version":%d,"Routes":[
{"Name":"resumable","Host":%q,"PathPrefix":"/resumable/","Kind":"streaming","TimeoutMs":4000,"GoalMs":500,"Service":%q,"Attempts":3,"Resumable":true},
{"Name":"once","Host":%q,"PathPrefix":"/once/","Kind":"streaming","TimeoutMs":4000,"GoalMs":500,"Service":%q,"Attempts":1},
{"Name":"jobs","Host":%q,"PathPrefix":"/jobs/","Kind":"bulk","TimeoutMs":10000,"GoalMs":500,"Service":%q,"Attempts":3,"RunTargetMs":10000,"KeepS":90}%s],
"Services":[{"Name":%q,"MaxConns":200,"Engine":{"Slots":8}}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304}}`,
		version, routeHost, serviceName, routeHost, serviceName, routeHost, serviceName, oddRoute, serviceName)
}

// replaceConfiguration has the next configuration accepted and returns its version.
func (f *platformFleet) replaceConfiguration() int64 {
	f.t.Helper()
	version := f.configVersion.Add(1)
	f.await(fmt.Sprintf("version %d is accepted", version), func() bool {
		for _, n := range f.controls {
			if n.frozen.Load() {
				continue
			}
			response, err := f.client.Post("http://"+n.operatorsAddress()+"/Config.Replace", "application/json", strings.NewReader(platformConfiguration(version)))
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
	response, err := f.client.Get("http://" + n.operatorsAddress() + "/Config.Read")
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

func (f *platformFleet) await(goal string, condition func() bool) {
	f.t.Helper()
	(&fleet{t: f.t}).await(goal, condition)
}

// streamResponse is an answer as a caller saw it.
type streamResponse struct {
	status   int
	complete bool
	stamp    string
	body     string
	err      error
}

// sendRequest sends one request to an entry, each on a connection of its own.
func (f *platformFleet) sendRequest(n *platformNode, prefix, id string) streamResponse {
	request, err := http.NewRequest(http.MethodPost, "http://"+n.callersAddress()+prefix+"x", strings.NewReader("prompt"))
	if err != nil {
		return streamResponse{err: err}
	}
	request.Host = routeHost
	request.Header.Set(headerID, id)
	request.Header.Set(headerDeadlineMs, "3500")
	return f.doRequest(f.client, request)
}

func (f *platformFleet) doRequest(client *http.Client, request *http.Request) streamResponse {
	response, err := client.Do(request)
	if err != nil {
		return streamResponse{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	return streamResponse{
		status: response.StatusCode, complete: err == nil && response.StatusCode == http.StatusOK,
		stamp: response.Header.Get(headerStamp), body: string(raw), err: err,
	}
}

// expectedStream returns the whole answer to a request.
func expectedStream(id string) string {
	var b bytes.Buffer
	for n := 1; n <= eventCount(id); n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", n, eventText(id, n))
	}
	return b.String()
}
