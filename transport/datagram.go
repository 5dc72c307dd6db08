package transport

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/briarcross/briarcross/pb"
)

const datagramStopTimeout = 5 * time.Second

// DatagramSocket sends and receives envelopes over UDP, without detecting losses.
type DatagramSocket struct {
	gnet.BuiltinEventEngine
	identity *Identity
	handler  func(*pb.Envelope)
	engine   gnet.Engine
	started  chan struct{}
	finished chan error
	sender   *net.UDPConn

	mu        sync.Mutex
	addresses map[string]*net.UDPAddr
}

// ListenDatagrams opens a socket that receives envelopes at an address. It calls
// the handler for each envelope on the event loop, so the handler must not block.
func ListenDatagrams(identity *Identity, address string, handler func(*pb.Envelope)) (*DatagramSocket, error) {
	if err := checkUDPAddress(address); err != nil {
		return nil, err
	}
	sender, err := net.ListenUDP("udp", nil)
	if err != nil {
		return nil, eris.Wrap(err, "open datagram socket")
	}
	d := &DatagramSocket{
		identity:  identity,
		handler:   handler,
		started:   make(chan struct{}),
		finished:  make(chan error, 1),
		sender:    sender,
		addresses: make(map[string]*net.UDPAddr),
	}
	go func() {
		d.finished <- gnet.Run(d, "udp://"+address, gnet.WithLogger(discardLogger{}))
	}()
	select {
	case <-d.started:
		return d, nil
	case err := <-d.finished:
		_ = sender.Close()
		return nil, eris.Wrapf(err, "listen for datagrams on %s", address)
	}
}

// checkUDPAddress returns an error if an address cannot be bound. The error of
// gnet.Run doesn't name the address.
func checkUDPAddress(address string) error {
	conn, err := net.ListenPacket("udp", address)
	if err != nil {
		return eris.Wrapf(err, "listen for datagrams on %s", address)
	}
	return conn.Close()
}

// OnBoot implements gnet.EventHandler.
func (d *DatagramSocket) OnBoot(engine gnet.Engine) gnet.Action {
	d.engine = engine
	close(d.started)
	return gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (d *DatagramSocket) OnTraffic(conn gnet.Conn) gnet.Action {
	data, err := conn.Next(-1)
	if err != nil {
		return gnet.None
	}
	e := &pb.Envelope{}
	if proto.Unmarshal(data, e) != nil {
		return gnet.None
	}
	if d.identity.accepts(e.GetHeader()) {
		d.handler(e)
	}
	return gnet.None
}

// Send sends one envelope. An error means that nothing was sent.
func (d *DatagramSocket) Send(address string, e *pb.Envelope) error {
	return d.SendAll([]string{address}, e)
}

// SendAll sends one envelope to each address. It returns the errors of the sends
// that failed.
func (d *DatagramSocket) SendAll(addresses []string, e *pb.Envelope) error {
	if e.Header == nil {
		e.Header = d.identity.Header("", 0)
	}
	e.Header.ReplyAddress = d.identity.Address
	data, err := proto.Marshal(e)
	if err != nil {
		return eris.Wrap(err, "encode datagram")
	}
	var failed []error
	for _, address := range addresses {
		to, err := d.resolve(address)
		if err == nil {
			_, err = d.sender.WriteToUDP(data, to)
			err = eris.Wrapf(err, "send datagram to %s", address)
		}
		failed = append(failed, err)
	}
	return errors.Join(failed...)
}

func (d *DatagramSocket) resolve(address string) (*net.UDPAddr, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if to, ok := d.addresses[address]; ok {
		return to, nil
	}
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "resolve datagram address %s", address)
	}
	d.addresses[address] = to
	return to, nil
}

// Close stops receiving and sending.
func (d *DatagramSocket) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), datagramStopTimeout)
	defer cancel()
	err := d.engine.Stop(ctx)
	_ = d.sender.Close()
	<-d.finished
	return eris.Wrap(err, "stop datagram listener")
}

// discardLogger drops the log messages of the event loop, which also returns its
// errors.
type discardLogger struct{}

func (discardLogger) Debugf(string, ...any) {}
func (discardLogger) Infof(string, ...any)  {}
func (discardLogger) Warnf(string, ...any)  {}
func (discardLogger) Errorf(string, ...any) {}
func (discardLogger) Fatalf(string, ...any) {}
