package transport

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/pb"
)

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// serve starts a server that stops at the end of the test, and returns its
// address.
func serve(t *testing.T, identity *Identity, handler Handler) string {
	t.Helper()
	listener := listen(t)
	server := NewServer(identity, handler)
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	t.Cleanup(func() {
		server.Close()
		_ = listener.Close()
		<-done
	})
	return listener.Addr().String()
}

func echo(_ Class, stream *Stream) {
	for {
		e, err := stream.Receive()
		if err != nil {
			return
		}
		if stream.Send(&pb.Envelope{Body: e.GetBody()}) != nil {
			return
		}
	}
}

func dataEnvelope(text string) *pb.Envelope {
	frame := &pb.OnlineFrame{Part: &pb.OnlineFrame_Data{Data: []byte(text)}}
	return &pb.Envelope{Body: &pb.Envelope_OnlineFrame{OnlineFrame: frame}}
}

func TestStreamTransfersEnvelopesInBothDirections(t *testing.T) {
	g := NewWithT(t)
	address := serve(t, &Identity{ID: "server", Incarnation: 7}, echo)
	client := NewClient(&Identity{ID: "client"}, nil)
	defer client.Close()
	stream, err := client.Open(context.Background(), Online, address)
	g.Expect(err).NotTo(HaveOccurred())
	for _, text := range []string{"one", "two"} {
		g.Expect(stream.Send(dataEnvelope(text))).To(Succeed())
		e, err := stream.Receive()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(e.GetOnlineFrame().GetData())).To(Equal(text))
		g.Expect(e.GetHeader().GetSender()).To(Equal("server"))
		g.Expect(e.GetHeader().GetIncarnation()).To(Equal(uint64(7)))
	}
}

// One record that could not be encoded ended the stream, and with it all other records.
func TestStreamSurvivesWhatCannotBeEncoded(t *testing.T) {
	g := NewWithT(t)
	received := make(chan *pb.Envelope, 2)
	address := serve(t, &Identity{ID: "server"}, func(_ Class, stream *Stream) {
		for {
			e, err := stream.Receive()
			if err != nil {
				return
			}
			received <- e
		}
	})
	client := NewClient(&Identity{ID: "client"}, nil)
	defer client.Close()
	stream, err := client.Open(context.Background(), Online, address)
	g.Expect(err).NotTo(HaveOccurred())
	update := &pb.FleetUpdate{Upstreams: []*pb.UpstreamBeat{{Id: "i-6d\xff\xfe"}, {Id: "sound"}}}
	envelope := &pb.Envelope{Body: &pb.Envelope_FleetUpdate{FleetUpdate: update}}
	g.Expect(stream.Send(envelope)).To(MatchError(ErrNotEncoded))
	g.Expect(stream.Send(dataEnvelope(strings.Repeat("x", MaxFrameBytes)))).To(MatchError(ErrNotEncoded))
	omitted, err := stream.SendEncodable(envelope)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(omitted).To(ConsistOf(ContainSubstring("i-6d")))
	g.Expect((<-received).GetFleetUpdate().GetUpstreams()).To(ConsistOf(HaveField("Id", "sound")))
	g.Expect(update.GetUpstreams()).To(HaveLen(2), "the sender's records are its own")
	omitted, err = stream.SendEncodable(dataEnvelope("next"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(omitted).To(BeEmpty())
	g.Expect(string((<-received).GetOnlineFrame().GetData())).To(Equal("next"))
	_, sent, err := client.Call(context.Background(), Online, address, envelope)
	g.Expect(err).To(MatchError(ErrNotEncoded))
	g.Expect(sent).To(BeFalse())
}

func TestEnvelopeForAnotherIncarnationIsDropped(t *testing.T) {
	tests := []struct {
		name        string
		incarnation uint64
		group       uint32
		accepted    bool
	}{
		{"any incarnation", 0, 0, true},
		{"this incarnation", 7, 0, true},
		{"an earlier incarnation", 6, 0, false},
		{"another group", 7, 1, false},
	}
	server := &Identity{ID: "server", Incarnation: 7}
	address := serve(t, server, echo)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			identity := &Identity{ID: "client", Group: test.group}
			client := NewClient(identity, nil)
			defer client.Close()
			stream, err := client.Open(context.Background(), Online, address)
			g.Expect(err).NotTo(HaveOccurred())
			before := server.DroppedEnvelopes()
			e := dataEnvelope("x")
			e.Header = identity.Header("server", test.incarnation)
			g.Expect(stream.Send(e)).To(Succeed())
			// The response has the server's group, which the client checks only if the
			// server has accepted the envelope.
			_, err = stream.Receive()
			if test.accepted {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			g.Expect(err).To(HaveOccurred())
			g.Expect(server.DroppedEnvelopes()).To(Equal(before + 1))
		})
	}
}

// A client that doesn't read one stream must not block another stream of the same
// connection.
func TestSlowReaderDoesNotBlockOtherStreams(t *testing.T) {
	g := NewWithT(t)
	blocked := make(chan struct{})
	address := serve(t, &Identity{ID: "server"}, func(class Class, stream *Stream) {
		first, err := stream.Receive()
		if err != nil {
			return
		}
		if string(first.GetOnlineFrame().GetData()) != "flood" {
			_ = stream.Send(dataEnvelope("answer"))
			return
		}
		close(blocked)
		block := string(make([]byte, streamWindowBytes/2))
		for stream.Send(dataEnvelope(block)) == nil {
		}
	})
	client := NewClient(&Identity{ID: "client"}, nil)
	defer client.Close()
	slow, err := client.Open(context.Background(), Online, address)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(slow.Send(dataEnvelope("flood"))).To(Succeed())
	<-blocked
	for range 10 {
		quick, err := client.Open(context.Background(), Online, address)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(quick.Send(dataEnvelope("ask"))).To(Succeed())
		response, err := quick.Receive()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(response.GetOnlineFrame().GetData())).To(Equal("answer"))
		_ = quick.Close()
	}
	_ = slow.Close()
}

func TestClientReconnectsAfterAConnectionLoss(t *testing.T) {
	g := NewWithT(t)
	identity := &Identity{ID: "server"}
	listener := listen(t)
	address := listener.Addr().String()
	first := NewServer(identity, echo)
	go func() { _ = first.Serve(listener) }()
	client := NewClient(&Identity{ID: "client"}, nil)
	defer client.Close()
	exchange := func() error { return exchangeOnce(client, Control, address) }
	g.Expect(exchange()).To(Succeed())
	first.Close()
	_ = listener.Close()
	g.Expect(exchange()).NotTo(Succeed())

	again, err := net.Listen("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	second := NewServer(identity, echo)
	go func() { _ = second.Serve(again) }()
	defer second.Close()
	defer func() { _ = again.Close() }()
	g.Expect(exchange()).To(Succeed())
}

func TestForeignProtocolIsRefused(t *testing.T) {
	g := NewWithT(t)
	address := serve(t, &Identity{ID: "server"}, echo)
	conn, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = conn.Read(make([]byte, 1))
	g.Expect(err).To(HaveOccurred())
}

func TestDatagramsTransferEnvelopes(t *testing.T) {
	g := NewWithT(t)
	packets, err := net.ListenPacket("udp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := packets.LocalAddr().String()
	g.Expect(packets.Close()).To(Succeed())

	received := make(chan *pb.Envelope, 1)
	receiver, err := ListenDatagrams(&Identity{ID: "b", Address: address}, address, func(e *pb.Envelope) { received <- e })
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { g.Expect(receiver.Close()).To(Succeed()) }()
	_, err = ListenDatagrams(&Identity{ID: "c"}, address, func(*pb.Envelope) {})
	g.Expect(err).To(MatchError(ContainSubstring(address)))

	g.Expect(receiver.Send(address, dataEnvelope("x"))).To(Succeed())
	e := <-received
	g.Expect(string(e.GetOnlineFrame().GetData())).To(Equal("x"))
	g.Expect(e.GetHeader().GetReplyAddress()).To(Equal(address))
}

func FuzzReceive(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{3, 0x0a, 0x01, 0x41})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(t *testing.T, frame []byte) {
		near, far := net.Pipe()
		go func() {
			_, _ = far.Write(frame)
			_ = far.Close()
		}()
		stream := newStream(&Identity{ID: "x"}, newActivity(), near, "peer", peerRoles{})
		for {
			if _, err := stream.Receive(); err != nil {
				return
			}
		}
	})
}

// slowCloseConn is a connection whose Close does not end its reads until it is released.
type slowCloseConn struct {
	net.Conn
	released chan struct{}
}

func (c *slowCloseConn) Close() error {
	<-c.released
	return c.Conn.Close()
}

// A stream of a session that was closing polled it without a pause: a storage daemon used a whole
// core and did nothing else.
func TestReceiveEndsWhileTheSessionCloses(t *testing.T) {
	g := NewWithT(t)
	clientConn, serverConn := net.Pipe()
	slow := &slowCloseConn{clientConn, make(chan struct{})}
	identity, streams := &Identity{ID: "client"}, newActivity()
	session, err := yamux.Client(newCoalescingConn(slow, identity.Traffic(Online), streams), sessionConfig())
	g.Expect(err).NotTo(HaveOccurred())
	server, err := yamux.Server(serverConn, sessionConfig())
	g.Expect(err).NotTo(HaveOccurred())
	received := make(chan error, 2)
	receive := func(s *Stream) {
		_, err := s.Receive()
		received <- err
	}
	conn, err := session.Open()
	g.Expect(err).NotTo(HaveOccurred())
	stream := newStream(identity, streams, conn, "server", peerRoles{})
	go receive(stream)
	closed := make(chan struct{})
	go func() {
		_ = session.Close()
		close(closed)
	}()
	g.Eventually(received, 10*time.Second).Should(Receive(HaveOccurred()))
	go receive(stream)
	g.Eventually(received, 10*time.Second).Should(Receive(HaveOccurred()), "a read that begins while the session closes")
	g.Expect(closed).NotTo(BeClosed(), "the session was still closing")
	close(slow.released)
	<-closed
	_ = server.Close()
}
