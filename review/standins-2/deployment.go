package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the daemons. Each daemon has a loopback address of its own.
const (
	frontPort    = 18161
	readyPort    = 18167
	controlPort  = 18166
	internalPort = 17720
	metricsPort  = 9464
	enginePort   = 18140
	beatMs       = 1200
)

// What the operator names.
const (
	routeHost   = "nony24.example"
	serviceName = "dammvakt"
)

// daemon is one process of the system.
type daemon struct {
	name, role, ip, zone string
	folder, dataDir      string
	command              *exec.Cmd
	exited               chan struct{}
	expectedEnd          bool
}

// deployment is a small deployment of separate processes on loopback addresses.
type deployment struct {
	record   *record
	folder   string
	network  int
	lock     net.Listener
	controls []*daemon
	stores   []*daemon
	entries  []*daemon
	engines  []*engine
	version  int
	attempts int
	stopping sync.Once
	client   *http.Client
}

// unable is a reason for which the case cannot run.
type unable struct{ reason string }

func fail(format string, args ...any) { panic(unable{fmt.Sprintf(format, args...)}) }

func newDeployment(r *record) *deployment {
	d := &deployment{record: r, attempts: 3, client: &http.Client{
		Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true},
	}}
	folder, err := os.MkdirTemp("", "standins")
	if err != nil {
		fail("temporary folder: %v", err)
	}
	d.folder = folder
	for network := 1; network < 250; network++ {
		if l, err := net.Listen("tcp", fmt.Sprintf("127.91.%d.1:19000", network)); err == nil {
			d.network, d.lock = network, l
			break
		}
	}
	if d.network == 0 {
		fail("no free loopback network")
	}
	return d
}

func (d *deployment) ip(host int) string { return fmt.Sprintf("127.91.%d.%d", d.network, host) }

func zone(i int) string { return [...]string{"hall-lulea", "hall-boden", "hall-kiruna"}[i%3] }

func (d *deployment) newDaemon(role string, i, host int) *daemon {
	n := &daemon{name: fmt.Sprintf("%s-%s-%d", role, zone(i), i/3+1), role: role, ip: d.ip(host), zone: zone(i)}
	n.folder = filepath.Join(d.folder, n.name)
	n.dataDir = filepath.Join(n.folder, "data")
	if err := os.MkdirAll(n.dataDir, 0o700); err != nil {
		fail("folder: %v", err)
	}
	return n
}

// start starts all daemons and engines and hands in the first configuration.
func (d *deployment) start(engines int) {
	for i := range 3 {
		d.controls = append(d.controls, d.newDaemon("control", i, 10+i))
		d.stores = append(d.stores, d.newDaemon("store", i, 20+i))
	}
	for i := range 4 {
		d.entries = append(d.entries, d.newDaemon("entry", i, 30+i))
	}
	for _, n := range d.daemons() {
		d.startDaemon(n, true)
	}
	for i := range engines {
		d.engines = append(d.engines, newEngine(d, i))
	}
	d.await("the first configuration is acknowledged", 20*time.Second, func() bool { return d.replaceConfig(d.version+1) == 200 })
	d.await("all entries are ready", 20*time.Second, func() bool {
		for _, n := range d.entries {
			if d.get("http://"+net.JoinHostPort(n.ip, strconv.Itoa(readyPort))+"/readyz") != 200 {
				return false
			}
		}
		return true
	})
}

func (d *deployment) daemons() []*daemon {
	all := append([]*daemon{}, d.controls...)
	return append(append(all, d.stores...), d.entries...)
}

func (d *deployment) seeds() []string {
	var seeds []string
	for _, n := range d.controls {
		seeds = append(seeds, net.JoinHostPort(n.ip, strconv.Itoa(controlPort)))
	}
	return seeds
}

// startDaemon writes the settings of a daemon and starts it with the command of the deploy file.
func (d *deployment) startDaemon(n *daemon, bootstrap bool) {
	class := map[string]string{"control": "core", "store": "storage", "entry": "edge"}[n.role]
	serves := map[string]string{"control": "control", "store": "storage", "entry": "edge"}[n.role]
	listen := map[string]string{
		"control": fmt.Sprintf("Control = \"%s:%d\"\n", n.ip, controlPort),
		"entry":   fmt.Sprintf("Front = \"%s:%d\"\nReady = \"%s:%d\"\n", n.ip, frontPort, n.ip, readyPort),
	}[n.role]
	settings := fmt.Sprintf(`Node = %q
Role = %q
Class = %q
Serves = [%q]
Ip = %q
Zone = %q
Region = "norrbotten"
PortRange = [%d,%d]
Seeds = ["%s"]
Bootstrap = %v
CountsAsLoss = %v
Discovery = "static"
Entry = "vip"
BeatMs = %d
DataDir = %q
ConfigMode = "highest"
[Zones]
hall-lulea = "norrbotten"
hall-boden = "norrbotten"
hall-kiruna = "norrbotten"
[Listen]
%s[Limits]
CpuShare = 0.96
Cores = 1
MemoryMb = 300
MaxFds = 4200
LinkMbps = 1000.0
DiskMb = 420
[Tolerate]
Machines = 1
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4.5
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigMs = 2000
RollbackSlackMs = 250
SkewMaxMs = 5000
RecoverS = 12
PassMs = 120
AgainS = 0
FinishS = 18
StatusS = 120
CancelMs = 3000
SettleMs = 1000
QuotaOver = 0.1
`, n.name, n.role, class, serves, n.ip, n.zone, internalPort, internalPort+15, strings.Join(d.seeds(), `","`), bootstrap,
		n.role != "entry", beatMs, n.dataDir, listen)
	path := filepath.Join(n.folder, "settings.toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		fail("settings: %v", err)
	}
	log, err := os.OpenFile(filepath.Join(n.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("log: %v", err)
	}
	c := exec.Command("target/briarcross", "node", n.role, "-metrics", fmt.Sprintf("%s:%d", n.ip, metricsPort))
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.folder, "BRIARCROSS_NODE_FILE=" + path}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		fail("start %s: %v", n.name, err)
	}
	exited := make(chan struct{})
	n.command, n.exited, n.expectedEnd = c, exited, false
	go func() {
		err := c.Wait()
		_ = log.Close()
		if !n.expectedEnd {
			d.record.line("%s (pid %d) ended by itself: %v", n.name, c.Process.Pid, err)
		}
		close(exited)
	}()
}

func (d *deployment) signal(n *daemon, s syscall.Signal) {
	d.record.line("signal %v to %s", s, n.name)
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		n.expectedEnd = true
	}
	_ = n.command.Process.Signal(s)
}

func (n *daemon) ended() bool {
	select {
	case <-n.exited:
		return true
	default:
		return false
	}
}

// stop ends all processes that the case has started.
func (d *deployment) stop() { d.stopping.Do(d.endAll) }

func (d *deployment) endAll() {
	for _, e := range d.engines {
		e.stop()
	}
	for _, n := range d.daemons() {
		if n.command == nil {
			continue
		}
		n.expectedEnd = true
		_ = n.command.Process.Signal(syscall.SIGKILL)
		<-n.exited
	}
	_ = d.lock.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println("kept", d.folder)
	}
}

func (d *deployment) await(what string, limit time.Duration, condition func() bool) {
	for began := time.Now(); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Since(began) > limit {
			fail("not within %v: %s", limit, what)
		}
	}
}

func (d *deployment) get(url string) int {
	response, err := d.client.Get(url)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// configuration is the operator's document.
func (d *deployment) configuration(version int) string {
	return fmt.Sprintf(`{"Version":%d,"Routes":[`+
		`{"Name":"r-note","Host":%q,"PathPrefix":"/note/","Kind":"streaming","TimeoutMs":5000,"GoalMs":300,"Priority":0,"Service":%q,"Attempts":2,"Sticky":true,"Resumable":true,"GapTargetMs":300},`+
		`{"Name":"r-log","Host":%q,"PathPrefix":"/log/","Kind":"streaming","TimeoutMs":5000,"GoalMs":300,"Priority":0,"Service":%q,"Attempts":1,"Sticky":true,"Resumable":false,"GapTargetMs":300},`+
		`{"Name":"r-brief","Host":%q,"PathPrefix":"/brief/","Kind":"bulk","TimeoutMs":15000,"GoalMs":400,"Priority":2,"Service":%q,"Attempts":%d,"Sticky":true,"Resumable":true,"GapTargetMs":300,"RunTargetMs":18000,"KeepS":60}],`+
		`"Services":[{"Name":%q,"HealthPath":"/healthz","MaxConns":360,"Protocol":"h1","Tls":false,"Engine":{"Slots":8,"KvCapTokens":146246,"KvTokenBytes":163840,"LinkMbps":740000.0,"Models":[{"Name":"m"}]}}],`+
		`"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`,
		version, routeHost, serviceName, routeHost, serviceName, routeHost, serviceName, d.attempts, serviceName)
}

// replaceConfig sends the configuration to each control daemon in turn until one gives a clear answer.
func (d *deployment) replaceConfig(version int) int {
	for _, seed := range d.seeds() {
		response, err := d.client.Post("http://"+seed+"/Config.Replace", "application/json", strings.NewReader(d.configuration(version)))
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode == 200 {
			d.version = version
			d.record.line("configuration %d acknowledged by %s", version, seed)
			return 200
		}
	}
	return 0
}

// call sends one call of a client to an entry, on a new connection.
func (d *deployment) call(entry *daemon, method, path string, header map[string]string, body []byte) (status int, answer []byte, err error) {
	request, err := http.NewRequest(method, "http://"+net.JoinHostPort(entry.ip, strconv.Itoa(frontPort))+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Host = routeHost
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := d.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}
