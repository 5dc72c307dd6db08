package devd

import (
	"context"
	_ "embed" // for the example configuration
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/briarcross/briarcross/client"
	"github.com/briarcross/briarcross/config"
	"github.com/briarcross/briarcross/controld"
	"github.com/briarcross/briarcross/daemon"
	"github.com/briarcross/briarcross/entryd"
	labengine "github.com/briarcross/briarcross/lab/engine"
	labservice "github.com/briarcross/briarcross/lab/service"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/sidecard"
	"github.com/briarcross/briarcross/transport"
)

const (
	startTimeout      = 20 * time.Second
	readyPollInterval = 20 * time.Millisecond
	stopTimeout       = 20 * time.Second
	tickInterval      = 20 * time.Millisecond
	leaseDuration     = 2 * time.Second
	pollInterval      = 100 * time.Millisecond
	shutdownDelay     = 100 * time.Millisecond
)

//go:embed example.yaml
var exampleConfig []byte

// PlainServiceName is the name of the plain service in the example configuration.
const PlainServiceName = "records"

// ModelServiceName is the name of the model service in the example configuration.
const ModelServiceName = "dam-watch"

// Cluster is a running installation.
type Cluster struct {
	daemon.FatalErrorReporter
	settings *Settings
	addrs    addresses

	Controls []*controld.Daemon
	Sidecars []*sidecard.Daemon
	Entries  []*entryd.Daemon
	Engines  []*labengine.Server
	Service  *labservice.Server
}

// addresses holds the HOST:PORT addresses of the daemons, the fake engines and
// the fake service.
type addresses struct {
	control, controlHTTP []string
	entry, entryHTTP     []string
	sidecar, sidecarHTTP []string
	engine               []string
}

// PortCount returns the number of consecutive ports, from BasePort, to keep free
// for the installation.
func (s *Settings) PortCount() int {
	const portsPerDaemon = 3
	return portsPerDaemon * (controlReplicas + s.Entries + s.Sidecars + 1)
}

func newAddresses(s *Settings) addresses {
	p := &portAllocator{next: s.BasePort}
	upstreams := s.Sidecars + 1
	return addresses{
		controlHTTP: p.allocateMany(controlReplicas),
		entryHTTP:   p.allocateMany(s.Entries),
		control:     p.allocateMany(controlReplicas),
		entry:       p.allocateMany(s.Entries),
		sidecar:     p.allocateMany(upstreams),
		sidecarHTTP: p.allocateMany(upstreams),
		engine:      p.allocateMany(upstreams),
	}
}

// Start starts an installation and waits until its entries are ready and know
// all sidecars.
func Start(settings *Settings) (*Cluster, error) {
	c := &Cluster{
		settings:           settings,
		addrs:              newAddresses(settings),
		FatalErrorReporter: daemon.NewFatalErrorReporter(),
	}
	if err := c.start(); err != nil {
		return nil, errors.Join(err, c.Stop())
	}
	return c, nil
}

func (c *Cluster) start() error {
	for i := range controlReplicas {
		if err := c.startControl(i); err != nil {
			return err
		}
	}
	if err := c.applyConfig(); err != nil {
		return err
	}
	for i := range c.settings.Entries {
		if err := c.startEntry(i); err != nil {
			return err
		}
	}
	for i := range c.settings.Sidecars {
		if err := c.startModelUpstream(i); err != nil {
			return err
		}
	}
	if err := c.startPlainUpstream(); err != nil {
		return err
	}
	return c.awaitReady()
}

func (c *Cluster) commonSettings(role string, number int, listen, httpAddress string) daemon.Settings {
	return daemon.Settings{
		ID:          fmt.Sprintf("%s-%d", role, number+1),
		DataCentre:  dataCentre(number),
		Listen:      listen,
		HTTP:        httpAddress,
		LogLevel:    c.settings.LogLevel,
		LogFormat:   "logfmt",
		StopTimeout: stopTimeout,
	}
}

func dataCentre(number int) string {
	names := [...]string{"lulea", "boden", "kiruna"}
	return names[number%len(names)]
}

func (c *Cluster) startControl(i int) error {
	s := &controld.Settings{
		Settings:     c.commonSettings("control", i, c.addrs.control[i], c.addrs.controlHTTP[i]),
		Tick:         tickInterval,
		RepairAfter:  startTimeout,
		LeaseTime:    leaseDuration,
		PollInterval: pollInterval,
		SettleTime:   leaseDuration,
	}
	for number, address := range c.addrs.control {
		s.Replicas = append(s.Replicas, fmt.Sprintf("control-%d@%s@%s", number+1, address, dataCentre(number)))
	}
	if c.settings.DataDir != "" {
		s.Folder = filepath.Join(c.settings.DataDir, s.ID)
	}
	if err := s.Check(); err != nil {
		return err
	}
	d, err := controld.Start(s)
	if err != nil {
		return err
	}
	c.Controls = append(c.Controls, d)
	c.forwardFatal(d.FatalErrors())
	return nil
}

func (c *Cluster) startEntry(i int) error {
	s := &entryd.Settings{
		Settings:      c.commonSettings("entry", i, c.addrs.entry[i], c.addrs.entryHTTP[i]),
		Control:       c.addrs.control,
		Registrars:    c.addrs.entry,
		ShutdownDelay: shutdownDelay,
		MaxBodyBytes:  8 << 20,
	}
	if err := s.Check(); err != nil {
		return err
	}
	d, err := entryd.Start(s)
	if err != nil {
		return err
	}
	c.Entries = append(c.Entries, d)
	c.forwardFatal(d.FatalErrors())
	return nil
}

func (c *Cluster) startModelUpstream(i int) error {
	listener, err := daemon.ListenTCP("base-port", c.addrs.engine[i])
	if err != nil {
		return err
	}
	engine := labengine.NewServer(labengine.Options{
		ID:     fmt.Sprintf("engine-%d", i+1),
		Models: []string{ModelServiceName},
		Seed:   c.settings.Seed + uint64(i),
		Cost:   c.settings.EngineCost,
	})
	go c.serve(engine.Serve, listener)
	c.Engines = append(c.Engines, engine)
	return c.startSidecar(i, sidecard.KindModel, ModelServiceName)
}

func (c *Cluster) startPlainUpstream() error {
	i := c.settings.Sidecars
	listener, err := daemon.ListenTCP("base-port", c.addrs.engine[i])
	if err != nil {
		return err
	}
	c.Service = labservice.New(labservice.Options{})
	go c.serve(c.Service.Serve, listener)
	return c.startSidecar(i, sidecard.KindPlain, PlainServiceName)
}

func (c *Cluster) serve(serve func(net.Listener) error, listener net.Listener) {
	if err := serve(listener); err != nil {
		c.ReportFatal(err)
	}
}

func (c *Cluster) startSidecar(i int, kind, service string) error {
	s := &sidecard.Settings{
		Settings:   c.commonSettings("sidecar", i, c.addrs.sidecar[i], c.addrs.sidecarHTTP[i]),
		Engine:     "http://" + c.addrs.engine[i],
		Kind:       kind,
		Services:   []string{service},
		Control:    c.addrs.control,
		Registrars: c.addrs.entry,
		MaxWindow:  64,
		MaxQueue:   256,
	}
	if err := s.Check(); err != nil {
		return err
	}
	d, err := sidecard.Start(s)
	if err != nil {
		return err
	}
	c.Sidecars = append(c.Sidecars, d)
	c.forwardFatal(d.FatalErrors())
	return nil
}

func (c *Cluster) forwardFatal(fatalErrors <-chan error) {
	go func() {
		if err, ok := <-fatalErrors; ok {
			c.ReportFatal(err)
		}
	}()
}

// applyConfig proposes the first configuration, unless the control replicas
// already hold one.
func (c *Cluster) applyConfig() error {
	text, name := exampleConfig, "example.yaml"
	if c.settings.ConfigFile != "" {
		name = c.settings.ConfigFile
		read, err := os.ReadFile(name)
		if err != nil {
			return daemon.NewSettingError("config", err.Error())
		}
		text = read
	}
	documents, err := config.Parse(name, text)
	if err != nil {
		return daemon.NewSettingError("config", err.Error())
	}
	change := &pb.ConfigChange{ChangeId: "dev-first-configuration", Operator: "dev"}
	for _, document := range documents {
		change.Ops = append(change.Ops, &pb.ConfigOp{Op: &pb.ConfigOp_Put{Put: document}})
	}
	return c.propose(&pb.Command{Op: &pb.Command_ConfigChange{ConfigChange: change}})
}

func (c *Cluster) propose(command *pb.Command) error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	t := transport.NewClient(&transport.Identity{ID: "dev"}, nil)
	defer t.Close()
	result, controlErr := client.NewReplicaClient(t, c.addrs.control).Propose(ctx, transport.Control, command)
	if controlErr != nil {
		return eris.Errorf("propose the first configuration: %s", controlErr.GetReason())
	}
	// CHANGE_CONFLICT means that a data folder already holds a configuration.
	if result.GetChange().GetOutcome() == pb.ChangeOutcome_CHANGE_INVALID {
		return eris.Errorf("first configuration is invalid: %s", result.GetChange().GetReason())
	}
	return nil
}

// awaitReady waits until each entry is ready and knows all sidecars.
func (c *Cluster) awaitReady() error {
	timeout := time.NewTimer(startTimeout)
	defer timeout.Stop()
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for !c.ready() {
		select {
		case <-timeout.C:
			return eris.New("the installation did not become ready in time: an entry is not ready or does not know all sidecars")
		case <-ticker.C:
		}
	}
	return nil
}

func (c *Cluster) ready() bool {
	for _, entry := range c.Entries {
		if !entry.Ready() || entry.MemberCount() < len(c.Sidecars) {
			return false
		}
	}
	return true
}

// EntryURL returns the base URL of an entry.
func (c *Cluster) EntryURL(i int) string {
	return "http://" + c.addrs.entryHTTP[i]
}

// EngineURL returns the base URL of a fake engine.
func (c *Cluster) EngineURL(i int) string {
	return "http://" + c.addrs.engine[i]
}

// ControlURL returns the base URL of a control replica's HTTP interface.
func (c *Cluster) ControlURL(i int) string {
	return "http://" + c.addrs.controlHTTP[i]
}

// HTTPURLs returns the base URLs of all daemons' HTTP interfaces.
func (c *Cluster) HTTPURLs() []string {
	var urls []string
	for _, address := range slices.Concat(c.addrs.controlHTTP, c.addrs.entryHTTP, c.addrs.sidecarHTTP) {
		urls = append(urls, "http://"+address)
	}
	return urls
}

// StopSidecar drains and stops one sidecar.
func (c *Cluster) StopSidecar(i int) error {
	sidecar := c.Sidecars[i]
	c.Sidecars = append(c.Sidecars[:i:i], c.Sidecars[i+1:]...)
	return sidecar.Stop()
}

// Stop stops all daemons, entries first, so that no running request is
// cancelled.
func (c *Cluster) Stop() error {
	var errs []error
	for _, entry := range c.Entries {
		errs = append(errs, entry.Stop())
	}
	for _, sidecar := range c.Sidecars {
		errs = append(errs, sidecar.Stop())
	}
	for _, control := range c.Controls {
		errs = append(errs, control.Stop())
	}
	for _, engine := range c.Engines {
		errs = append(errs, engine.Close())
	}
	if c.Service != nil {
		errs = append(errs, c.Service.Close())
	}
	return errors.Join(errs...)
}
