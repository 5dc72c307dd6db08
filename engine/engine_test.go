package engine_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"

	"github.com/briarcross/briarcross/engine"
	labengine "github.com/briarcross/briarcross/lab/engine"
	labservice "github.com/briarcross/briarcross/lab/service"
	"github.com/briarcross/briarcross/openai"
	"github.com/briarcross/briarcross/pb"
)

func fastCost() labengine.CostModel {
	return labengine.CostModel{Base: 200 * time.Microsecond, PrefillChunk: 4096}
}

func startEngine(t *testing.T, o labengine.Options) (*labengine.Server, engine.Client) {
	t.Helper()
	o.Cost = fastCost()
	server := labengine.NewServer(o)
	address := serve(t, server.Serve)
	t.Cleanup(func() { _ = server.Close() })
	client := engine.NewModelClient("http://"+address, engine.Options{})
	t.Cleanup(client.Close)
	return server, client
}

func serve(t *testing.T, run func(net.Listener) error) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = run(ln) }()
	return ln.Addr().String()
}

// recordingSink records a response. It fails at part failAtPart of the body,
// unless that is zero.
type recordingSink struct {
	head       *engine.ResponseHead
	aggregator openai.Aggregator
	body       []byte
	failAtPart int
	parts      int
}

var errSink = errors.New("sink failed")

func (r *recordingSink) sink(part engine.ResponsePart) error {
	switch part := part.(type) {
	case engine.ResponseHead:
		r.head = &part
	case engine.ResponseData:
		r.parts++
		if r.failAtPart > 0 && r.parts >= r.failAtPart {
			return errSink
		}
		r.body = append(r.body, part.Payload...)
		_ = r.aggregator.Add(part.Payload)
	}
	return nil
}

func (r *recordingSink) responseBody(t *testing.T) string {
	t.Helper()
	body, err := r.aggregator.Body()
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

func completion(id, prompt string) engine.Request {
	body := `{"model":"m","prompt":"` + prompt + `","max_tokens":20}`
	return engine.Request{ID: id, Method: "POST", Path: openai.PathCompletions, Body: []byte(body)}
}

func TestRunStreamsWholeResponse(t *testing.T) {
	g := NewWithT(t)
	server, client := startEngine(t, labengine.Options{})
	for range 3 {
		var r recordingSink
		result := client.Run(t.Context(), completion("a", "crest"), r.sink)
		g.Expect(result).To(Equal(engine.Result{Sent: true, Complete: true, Status: 200, Tokens: 20}))
		g.Expect(r.responseBody(t)).To(ContainSubstring(`"text":"` + labengine.ResponseText("crest", 20) + `"`))
	}
	g.Expect(server.Ledger()[0].Finished).To(Equal(3))
}

func TestRunDropsForeignChunks(t *testing.T) {
	g := NewWithT(t)
	_, client := startEngine(t, labengine.Options{Faults: labengine.Faults{LateTokenProbability: 0.5}})
	var previous recordingSink
	client.Run(t.Context(), completion("before", "x"), previous.sink)
	var r recordingSink
	result := client.Run(t.Context(), completion("own", "crest"), r.sink)
	g.Expect(result.Complete).To(BeTrue())
	g.Expect(r.responseBody(t)).To(ContainSubstring(labengine.ResponseText("crest", 20)))
	g.Expect(client.DroppedChunks()).To(BeNumerically(">", 0))
}

func TestRunReportsTruncation(t *testing.T) {
	g := NewWithT(t)
	_, client := startEngine(t, labengine.Options{Faults: labengine.Faults{TruncateProbability: 1}})
	var r recordingSink
	result := client.Run(t.Context(), completion("a", "crest"), r.sink)
	g.Expect(result.Sent).To(BeTrue())
	g.Expect(result.Complete).To(BeFalse())
	g.Expect(result.Tokens).To(Equal(10))
	g.Expect(result.Err).To(MatchError(engine.ErrNoDone))
	request := completion("a", "crest")
	request.ResumeFrom = result.Tokens
	_, healthy := startEngine(t, labengine.Options{})
	rest := healthy.Run(t.Context(), request, r.sink)
	g.Expect(rest.Complete).To(BeTrue())
	g.Expect(r.responseBody(t)).To(ContainSubstring(labengine.ResponseText("crest", 20)))
}

func TestRunReportsEngineFailureMidStream(t *testing.T) {
	g := NewWithT(t)
	server, client := startEngine(t, labengine.Options{})
	request := completion("a", "crest")
	request.Body = []byte(`{"model":"m","prompt":"p","max_tokens":100000}`)
	killOnFirstToken := func(part engine.ResponsePart) error {
		if data, ok := part.(engine.ResponseData); ok && data.Tokens > 0 {
			server.SetFaults(labengine.Faults{Down: true})
		}
		return nil
	}
	result := client.Run(t.Context(), request, killOnFirstToken)
	g.Expect(result.Sent).To(BeTrue())
	g.Expect(result.Complete).To(BeFalse())
	g.Expect(result.Err).To(HaveOccurred())
}

func TestErrorStatusIsCompleteResponse(t *testing.T) {
	g := NewWithT(t)
	_, client := startEngine(t, labengine.Options{})
	request := completion("a", "crest")
	request.Body = []byte(`{"model":"m","prompt":"p","max_tokens":-1}`)
	var r recordingSink
	result := client.Run(t.Context(), request, r.sink)
	g.Expect(result).To(Equal(engine.Result{Sent: true, Complete: true, Status: 400}))
	detail, ok := openai.ParseError(r.body)
	g.Expect(ok).To(BeTrue())
	g.Expect(detail.Code).To(Equal("invalid_max_tokens"))
}

func TestSentIsFalseOnlyWhenNoByteWasWritten(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := ln.Addr().String()
	go func() {
		c, err := ln.Accept()
		if err == nil {
			_, _ = c.Read(make([]byte, 1))
			_ = c.Close()
		}
		_ = ln.Close()
	}()
	client := engine.NewModelClient("http://"+address, engine.Options{})
	var r recordingSink
	result := client.Run(t.Context(), completion("a", "p"), r.sink)
	g.Expect(result.Sent).To(BeTrue())
	g.Expect(result.Complete).To(BeFalse())
	g.Eventually(func() bool {
		return client.Run(t.Context(), completion("b", "p"), r.sink).Sent
	}).Should(BeFalse())
	g.Expect(r.head).To(BeNil())
}

func TestCancelClosesConnection(t *testing.T) {
	g := NewWithT(t)
	closed := make(chan error, 1)
	address := serve(t, func(ln net.Listener) error {
		defer ln.Close()
		c, err := ln.Accept()
		if err != nil {
			return err
		}
		_, _ = c.Read(make([]byte, 4096))
		event := "data: {\"id\":\"cmpl-a\"}\n\n"
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"+
			"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(event), event)
		_, err = io.Copy(io.Discard, c)
		closed <- err
		return err
	})
	client := engine.NewModelClient("http://"+address, engine.Options{})
	ctx, cancel := context.WithCancel(t.Context())
	sink := func(part engine.ResponsePart) error {
		if _, ok := part.(engine.ResponseData); ok {
			cancel()
		}
		return nil
	}
	result := client.Run(ctx, completion("a", "p"), sink)
	g.Expect(result.Sent).To(BeTrue())
	g.Expect(result.Complete).To(BeFalse())
	g.Expect(result.Err).To(MatchError(context.Canceled))
	g.Eventually(closed).Should(Receive())
}

func TestCancelReachesStalledEngine(t *testing.T) {
	g := NewWithT(t)
	server, client := startEngine(t, labengine.Options{Faults: labengine.Faults{Stall: true}})
	ctx, cancel := context.WithCancel(t.Context())
	sink := func(engine.ResponsePart) error {
		cancel()
		return nil
	}
	result := client.Run(ctx, completion("a", "p"), sink)
	g.Expect(result.Complete).To(BeFalse())
	g.Eventually(func() int { return server.Ledger()[0].Cancelled }).Should(Equal(1))
}

func TestSinkErrorCancelsEngineRequest(t *testing.T) {
	g := NewWithT(t)
	server, client := startEngine(t, labengine.Options{})
	r := recordingSink{failAtPart: 3}
	request := completion("a", "p")
	request.Body = []byte(`{"model":"m","prompt":"p","max_tokens":100000}`)
	result := client.Run(t.Context(), request, r.sink)
	g.Expect(result.Err).To(MatchError(errSink))
	g.Eventually(func() int { return server.Ledger()[0].Cancelled }).Should(Equal(1))
}

// The reason of a refusal was sent to control as the engine wrote it. A message with it could not
// be encoded, nor the reports beside it.
func TestReasonOfARefusalCanBeEncoded(t *testing.T) {
	g := NewWithT(t)
	refuse := func(ctx *fasthttp.RequestCtx) {
		ctx.Error(strings.Repeat("full\xff\xfe", 1000), fasthttp.StatusConflict)
	}
	address := serve(t, func(l net.Listener) error { return fasthttp.Serve(l, refuse) })
	client := engine.NewModelClient("http://"+address, engine.Options{})
	result := client.SendOrder(t.Context(), &pb.Order{FencingNumber: 5, Kind: pb.OrderKind_ORDER_LOAD_MODEL, Subject: "n"})
	g.Expect(result.Outcome).To(Equal(engine.OrderRefused))
	_, err := proto.Marshal(&pb.ControlError{Reason: result.Reason})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(result.Reason)).To(BeNumerically("<", 2000))
}

func TestControlCalls(t *testing.T) {
	g := NewWithT(t)
	options := labengine.Options{ID: "e1", Models: []string{"m"}, ChecksFencing: true}
	_, client := startEngine(t, options)
	identity, err := client.Identity(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(identity.ID).To(Equal("e1"))
	g.Expect(identity.ChecksFencing).To(BeTrue())
	order := &pb.Order{FencingNumber: 5, Kind: pb.OrderKind_ORDER_LOAD_MODEL, Subject: "n"}
	g.Expect(client.SendOrder(t.Context(), order).Outcome).To(Equal(engine.OrderDone))
	order.FencingNumber = 4
	g.Expect(client.SendOrder(t.Context(), order).Outcome).To(Equal(engine.OrderRefused))
	load, err := client.Load(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(load.KVCapacity).To(Equal(labengine.DefaultMaxKVTokens))
	request := completion("a", strings.Repeat("p", 256))
	var r recordingSink
	g.Expect(client.Run(t.Context(), request, r.sink).Complete).To(BeTrue())
	events, next, err := client.CacheEvents(t.Context(), 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(events).To(HaveLen(1))
	g.Expect(events[0].Hashes).To(HaveLen(4))
	g.Expect(next).To(BeNumerically("==", 1))
	_, err = client.ExportKV(t.Context(), "absent")
	g.Expect(err).To(HaveOccurred())
}

func TestExportedKVStateResumesRequestOnOtherEngine(t *testing.T) {
	g := NewWithT(t)
	_, source := startEngine(t, labengine.Options{})
	request := completion("a", "p")
	request.Body = []byte(`{"model":"m","prompt":"p","max_tokens":3000}`)
	var r recordingSink
	var handle []byte
	exporting := func(part engine.ResponsePart) error {
		if r.parts == 5 {
			var err error
			handle, err = source.ExportKV(t.Context(), "a")
			if err != nil {
				return err
			}
			return errSink
		}
		return r.sink(part)
	}
	interrupted := source.Run(t.Context(), request, exporting)
	g.Expect(interrupted.Err).To(MatchError(errSink))
	target, client := startEngine(t, labengine.Options{})
	request.ResumeFrom = interrupted.Tokens
	request.KVHandle = handle
	g.Expect(client.Run(t.Context(), request, r.sink).Complete).To(BeTrue())
	g.Expect(r.responseBody(t)).To(ContainSubstring(labengine.ResponseText("p", 3000)))
	g.Expect(target.Counters().PrefillTokens).To(BeNumerically("==", 1))
}

func TestPlainClientRelaysRequestAndResponseUnchanged(t *testing.T) {
	g := NewWithT(t)
	service := labservice.New(labservice.Options{})
	client := engine.NewPlainClient("http://"+serve(t, service.Serve), engine.Options{})
	body := []byte(strings.Repeat("piezometer\x00", 20_000))
	request := engine.Request{
		ID: "a", Method: "PUT", Path: "/wells/7%2F8?unit=m", Body: body,
		Headers: []*pb.HeaderField{
			{Name: "Content-Type", Value: "application/octet-stream"},
			{Name: "Idempotency-Key", Value: "k1"},
			{Name: "X-Twice", Value: "1"}, {Name: "X-Twice", Value: "2"},
			{Name: "Connection", Value: "close"},
		},
	}
	var r recordingSink
	result := client.Run(t.Context(), request, r.sink)
	g.Expect(result).To(Equal(engine.Result{Sent: true, Complete: true, Status: 200}))
	g.Expect(r.body).To(Equal(body))
	call := service.Calls()[0]
	g.Expect(call.Method).To(Equal("PUT"))
	g.Expect(call.Path).To(Equal("/wells/7%2F8"))
	g.Expect(call.Query).To(Equal("unit=m"))
	g.Expect(call.Body).To(Equal(body))
	g.Expect(call.IdempotencyKey).To(Equal("k1"))
	twice := 0
	for _, field := range call.Headers {
		if field.GetName() == "X-Twice" {
			twice++
		}
	}
	g.Expect(twice).To(Equal(2))
}

func TestPlainBodyShorterThanContentLengthIsIncomplete(t *testing.T) {
	g := NewWithT(t)
	service := labservice.New(labservice.Options{})
	client := engine.NewPlainClient("http://"+serve(t, service.Serve), engine.Options{})
	request := engine.Request{ID: "a", Method: "POST", Path: "/x?missing=3", Body: []byte("abc")}
	var r recordingSink
	result := client.Run(t.Context(), request, r.sink)
	g.Expect(result.Complete).To(BeFalse())
	g.Expect(result.Status).To(Equal(200))
	g.Expect(result.Err).To(HaveOccurred())
	g.Expect(service.Calls()).To(HaveLen(1))
}
