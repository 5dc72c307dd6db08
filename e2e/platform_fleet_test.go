package e2e

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
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
	// bindPortOffset is added to the internal port of a daemon to get the port that
	// it listens on behind a proxy.
	bindPortOffset = 1000
	routeHost      = "fleet.example"
)

// networkLockPort is the port on which a fleet listens for as long as it uses a
// loopback network, to reserve that network.
const networkLockPort = 17700

// reserveNetwork returns the number of a loopback network that no other fleet of
// this or another test process on the machine uses.
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
	t.Fatal("all loopback networks 127.78.1.0 to 127.78.254.0 are in use")
	return 0
}

// platformNode is a daemon of the platform with its addresses and data directory.
// The proxy is nil unless the fleet is proxied.
type platformNode struct {
	*process
	role    string
	ip      string
	zone    string
	dataDir string
	proxy   *proxy
	limits  nodeLimits
	// env is added to the environment variables of the daemon.
	env []string
}

// nodeLimits are the limits in the settings of a node; zero means none.
type nodeLimits struct {
	memoryMb    int
	descriptors int
}

// platformFleet is a deployment of separate daemon processes with fake engines.
type platformFleet struct {
	t        *testing.T
	dir      string
	network  int
	proxied  bool
	controls []*platformNode
	stores   []*platformNode
	entries  []*platformNode
	engines  []*fakeEngine
	// formerEngines are those that others succeeded at their addresses.
	formerEngines []*fakeEngine
	ledger        runLedger
	daemons       daemonTable
	configVersion atomic.Int64
	client        *http.Client
	// tenants is the JSON list of the customers in the configuration, empty for none. key is
	// the key that requests are sent with, empty for none.
	tenants string
	key     string
	// otherService is the name of a second service with a route /other/ for items and
	// /other-online/ for streams, empty without.
	otherService string
	// moreRoutes is the JSON of further routes, each followed by a comma.
	moreRoutes string
	// unauthorized counts the responses with status 401.
	unauthorized atomic.Int32
}

const zoneCount = 3

// Two runs of these tests on one machine must not use the same addresses.
func TestFleetsReserveDistinctNetworks(t *testing.T) {
	if first, second := reserveNetwork(t), reserveNetwork(t); first == second {
		t.Fatalf("network %d was reserved twice", first)
	}
}

func startPlatformFleet(t *testing.T, entries, engines int, proxied bool) *platformFleet {
	t.Helper()
	return startPlatformFleetWithLimits(t, entries, engines, proxied, nil)
}

// startPlatformFleetWithLimits starts a fleet whose nodes have limits by role.
func startPlatformFleetWithLimits(t *testing.T, entries, engines int, proxied bool, limits map[string]nodeLimits) *platformFleet {
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
		n.limits = limits[n.role]
		f.startNode(n, true)
	}
	for i := range engines {
		f.startEngine(engineSpec{fmt.Sprintf("i-%d", i), serviceName, engineVersion(i, engines), zoneName(i), engineSlots, false})
	}
	f.replaceConfiguration()
	f.await("every entry completes a request", func() bool {
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

func (f *platformFleet) startEngine(spec engineSpec) {
	f.t.Helper()
	ip := f.hostIP(100 + len(f.engines))
	f.engines = append(f.engines, startFakeEngine(f.t, spec, ip, f.operatorsAddresses(), &f.ledger, &f.daemons))
}

// startSuccessor starts an engine with another ID at the address of one that has stopped.
func (f *platformFleet) startSuccessor(former *fakeEngine, id string, hidesStart bool) *fakeEngine {
	f.t.Helper()
	spec := former.engineSpec
	spec.id, spec.hidesStart = id, hidesStart
	return startFakeEngineAt(f.t, spec, former.address, f.operatorsAddresses(), &f.ledger, &f.daemons)
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

// startNode writes the settings file of a node and starts its process. On the
// first start, the node may bootstrap a new group.
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
	n.process = startDaemonWithEnv(f.t, f.dir, n.name, append([]string{"BRIARCROSS_NODE_FILE=" + settingsPath}, n.env...), args...)
	f.daemons.add(n.process)
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
	if n.limits != (nodeLimits{}) {
		settings += fmt.Sprintf("[Limits]\nMemoryMb = %d\nMaxFds = %d\n", n.limits.memoryMb, n.limits.descriptors)
	}
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

// platformConfiguration returns the configuration document of a version. Odd
// versions have an additional route.
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

// configuration returns the configuration document of a version with the customers.
func (f *platformFleet) configuration(version int64) string {
	document := platformConfiguration(version)
	if f.tenants != "" {
		document = strings.Replace(document, `,"Routes":`, `,"Tenants":`+f.tenants+`,"Routes":`, 1)
	}
	document = strings.Replace(document, `"Routes":[`, `"Routes":[`+f.moreRoutes, 1)
	if f.otherService != "" {
		route := fmt.Sprintf(`{"Name":"other","Host":%q,"PathPrefix":"/other/","Kind":"bulk","TimeoutMs":10000,"GoalMs":500,"Service":%q,"Attempts":3,"RunTargetMs":10000,"KeepS":90},
{"Name":"other-online","Host":%q,"PathPrefix":"/other-online/","Kind":"streaming","TimeoutMs":4000,"GoalMs":500,"Service":%q,"Attempts":3,"Resumable":true},`, routeHost, f.otherService, routeHost, f.otherService)
		document = strings.Replace(document, `"Routes":[`, `"Routes":[`+route, 1)
		document = strings.Replace(document, `"Services":[`, fmt.Sprintf(`"Services":[{"Name":%q,"MaxConns":200,"Engine":{"Slots":8}},`, f.otherService), 1)
	}
	return document
}

// authorize adds the key, if any, to a request.
func (f *platformFleet) authorize(request *http.Request) {
	if f.key != "" {
		request.Header.Set("Authorization", "Bearer "+f.key)
	}
}

func (f *platformFleet) countUnauthorized(response *http.Response) {
	if response.StatusCode == http.StatusUnauthorized {
		f.unauthorized.Add(1)
	}
}

// setCustomers puts customers into the configuration, and sends requests with a key once
// every entry enforces them.
func (f *platformFleet) setCustomers(tenants, key string) {
	f.t.Helper()
	f.tenants = tenants
	f.replaceConfiguration()
	f.await("every entry refuses requests without a key", func() bool {
		for _, n := range f.entries {
			if f.sendRequest(n, "/resumable/", "without-key").status != http.StatusUnauthorized {
				return false
			}
		}
		return true
	})
	f.key = key
	f.unauthorized.Store(0)
}

// replaceConfiguration submits the next version of the configuration until it is
// accepted, and returns the version.
func (f *platformFleet) replaceConfiguration() int64 {
	f.t.Helper()
	version := f.configVersion.Add(1)
	f.await(fmt.Sprintf("configuration version %d is accepted", version), func() bool {
		for _, n := range f.controls {
			if n.frozen.Load() {
				continue
			}
			response, err := f.client.Post("http://"+n.operatorsAddress()+"/Config.Replace", "application/json", strings.NewReader(f.configuration(version)))
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

// readConfiguration reads the configuration at a control replica. The status is
// zero if there is no response.
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

// streamResponse is the response to a streaming request. The status is zero if
// there is none; complete is set if status 200 and the whole body arrived.
type streamResponse struct {
	status   int
	complete bool
	stamp    string
	// body is the response without the versions of the events.
	body string
	// versions lists the software versions that wrote the events.
	versions []string
	err      error
}

// sendRequest sends a request to an entry on a new connection.
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
	f.authorize(request)
	response, err := client.Do(request)
	if err != nil {
		return streamResponse{err: err}
	}
	f.countUnauthorized(response)
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	return streamResponse{
		status: response.StatusCode, complete: err == nil && response.StatusCode == http.StatusOK,
		stamp: response.Header.Get(headerStamp), body: withoutVersions(string(raw)), err: err,
		versions: versionsIn(string(raw)),
	}
}

// versionSuffix matches the end of the data of an event, which names the software version of
// its engine.
var versionSuffix = regexp.MustCompile(`(?m) (v[0-9]+)$`)

func withoutVersions(text string) string { return versionSuffix.ReplaceAllString(text, "") }

// versionsIn lists the software versions that wrote the events of a stream.
func versionsIn(stream string) []string {
	var versions []string
	for _, match := range versionSuffix.FindAllStringSubmatch(stream, -1) {
		if !slices.Contains(versions, match[1]) {
			versions = append(versions, match[1])
		}
	}
	return versions
}

// engineVersion returns the software version of the engine with a number: half of
// four or more engines have another one than the rest.
func engineVersion(i, engines int) string {
	if engines >= 4 && i >= engines/2 {
		return "v2"
	}
	return "v1"
}

// expectedStream returns the body of the complete response to a request.
func expectedStream(id string) string {
	var b bytes.Buffer
	for n := 1; n <= eventCount(id); n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", n, eventText(id, n))
	}
	return b.String()
}
