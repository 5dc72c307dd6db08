package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports are the same on all machines; each machine has a loopback address of its own.
const (
	portFront    = 8161
	portReady    = 8167
	portControl  = 8166
	portInternal = 7720
)

// The bounds of the sheets of sdf-briar and kowal-trasy.
const (
	beat        = 1200 * time.Millisecond
	contact     = 3 * time.Second
	finish      = 18 * time.Second
	allowed5xx  = time.Second
	stopTimeout = 9 * time.Second
)

var zones = []string{"hall-lulea", "hall-boden", "hall-kiruna"}

// machine runs one process of the system, with the command of the deploy file.
type machine struct {
	name, role, class, serves, ip, zone string

	folder  string
	process *exec.Cmd
	exited  chan struct{}
	// hold is locked while something is done to the machine.
	hold sync.Mutex
}

func (m *machine) front() string   { return fmt.Sprintf("%s:%d", m.ip, portFront) }
func (m *machine) control() string { return fmt.Sprintf("%s:%d", m.ip, portControl) }

// fleet is a small deployment on loopback addresses.
type fleet struct {
	rec     *record
	root    string
	folder  string
	network string

	edges, stores, cores []*machine
	engines              []*engine
	client               *http.Client
}

func newFleet(rec *record, root string, edges int) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, root: root, folder: folder, network: freeNetwork()}
	f.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for i := range 3 {
		f.cores = append(f.cores, f.machine("control", "core", "control", i, 10))
		f.stores = append(f.stores, f.machine("store", "storage", "storage", i, 20))
	}
	for i := range edges {
		f.edges = append(f.edges, f.machine("entry", "edge", "edge", i, 30))
	}
	return f, nil
}

// freeNetwork returns the first three numbers of loopback addresses that nobody listens on.
func freeNetwork() string {
	for {
		network := fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250))
		listener, err := net.Listen("tcp", fmt.Sprintf("%s.10:%d", network, portControl))
		if err == nil {
			_ = listener.Close()
			return network
		}
	}
}

func (f *fleet) machine(role, class, serves string, i, address int) *machine {
	m := &machine{role: role, class: class, serves: serves, zone: zones[i%len(zones)], ip: fmt.Sprintf("%s.%d", f.network, address+i)}
	m.name = fmt.Sprintf("%s-%s-%d", class, m.zone, 1+i/len(zones))
	m.folder = filepath.Join(f.folder, m.name)
	return m
}

// settings is the platform's settings file of a machine.
func (f *fleet) settings(m *machine, first bool) string {
	var seeds []string
	for _, c := range f.cores {
		seeds = append(seeds, fmt.Sprintf("%q", c.control()))
	}
	listen, dataDir := "", ""
	switch m.role {
	case "entry":
		listen = fmt.Sprintf("Front = %q\nReady = %q\n", m.front(), fmt.Sprintf("%s:%d", m.ip, portReady))
	case "control":
		listen = fmt.Sprintf("Control = %q\n", m.control())
	}
	if m.role != "entry" {
		dataDir = fmt.Sprintf("DataDir = %q\n", filepath.Join(m.folder, "data"))
	}
	return fmt.Sprintf(`Node = %q
Role = %q
Class = %q
Serves = [%q]
Ip = %q
Zone = %q
Region = "norrbotten"
PortRange = [%d,%d]
Seeds = [%s]
Bootstrap = %v
CountsAsLoss = %v
Discovery = "static"
Entry = "vip"
BeatMs = 1200
Contracts = ["base","drain","config","cost","recover","batch","stream","engine"]
ConfigMode = "highest"
%s[Zones]
hall-lulea = "norrbotten"
hall-boden = "norrbotten"
hall-kiruna = "norrbotten"
hall-narvik = "norrbotten"
[Listen]
%s[Limits]
CpuShare = 0.8
Cores = 1
MemoryMb = 304
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
`, m.name, m.role, m.class, m.serves, m.ip, m.zone, portInternal, portInternal+15, strings.Join(seeds, ","), first, m.role != "entry", dataDir, listen)
}

// start starts the process of a machine.
func (f *fleet) start(m *machine, first bool) error {
	if err := os.MkdirAll(filepath.Join(m.folder, "data"), 0o700); err != nil {
		return err
	}
	settings := filepath.Join(m.folder, "settings.toml")
	if err := os.WriteFile(settings, []byte(f.settings(m, first)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.process = exec.Command(filepath.Join(f.root, "target", "briarcross"), "node", m.role, "-metrics", m.ip+":9464")
	m.process.Dir, m.process.Stdout, m.process.Stderr = f.root, log, log
	m.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.folder, "BRIARCROSS_NODE_FILE=" + settings}
	m.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.process.Start(); err != nil {
		return err
	}
	m.exited = make(chan struct{})
	go func() {
		_ = m.process.Wait()
		_ = log.Close()
		close(m.exited)
	}()
	f.rec.add("start %s (%s) at %s", m.name, m.role, m.ip)
	return nil
}

// startAll starts all machines, and returns once a configuration is acknowledged, the
// entries are ready and jobs can be read.
func (f *fleet) startAll(configuration string) error {
	for _, m := range f.machines() {
		if err := f.start(m, true); err != nil {
			return err
		}
	}
	if err := f.configure(configuration); err != nil {
		return err
	}
	for _, e := range f.engines {
		if err := e.start(); err != nil {
			return err
		}
	}
	for _, m := range f.edges {
		if err := f.until("ready "+m.name, 20*time.Second, func() bool {
			status, _ := f.call(http.MethodGet, fmt.Sprintf("http://%s:%d/readyz", m.ip, portReady), "", nil, "", time.Second)
			return status == http.StatusOK
		}); err != nil {
			return err
		}
		// The storage group answers once it is founded.
		if err := f.until("storage", 30*time.Second, func() bool {
			status, _ := f.call(http.MethodGet, "http://"+m.front()+"/lots/none", host, nil, "", 2*time.Second)
			return status == http.StatusNotFound
		}); err != nil {
			return err
		}
	}
	// Each engine has sent several heartbeats before traffic starts.
	time.Sleep(3 * beat)
	return nil
}

func (f *fleet) machines() []*machine {
	return append(append(append([]*machine(nil), f.cores...), f.stores...), f.edges...)
}

// configure sends a configuration until it is acknowledged.
func (f *fleet) configure(document string) error {
	f.rec.add("operator sends configuration %s", document)
	i := 0
	return f.until("configuration", 30*time.Second, func() bool {
		i++
		status, _ := f.call(http.MethodPost, "http://"+f.cores[i%len(f.cores)].control()+"/Config.Replace", "", nil, document, time.Second)
		f.rec.add("operator gets %d", status)
		return status == http.StatusOK
	})
}

func (f *fleet) until(what string, limit time.Duration, done func() bool) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if done() {
			return nil
		}
	}
	return fmt.Errorf("%s: not within %v", what, limit)
}

// call sends one request on a connection of its own. The status is zero without an answer.
func (f *fleet) call(method, url, hostName string, header map[string]string, body string, limit time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if hostName != "" {
		request.Host = hostName
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := f.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, content
}

// stop ends all processes that the script has started, and removes their folder unless
// KEEP is set.
func (f *fleet) stop() {
	for _, e := range f.engines {
		e.stop()
	}
	for _, m := range f.machines() {
		if m.process == nil || m.process.Process == nil {
			continue
		}
		select {
		case <-m.exited:
			f.rec.say("%s has ended by itself: %v", m.name, m.process.ProcessState)
		default:
			_ = m.process.Process.Kill()
			<-m.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println("logs:", f.folder)
	}
}
