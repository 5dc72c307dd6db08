package engine_test

import (
	"context"
	"testing"
	"time"

	"github.com/briarcross/briarcross/engine"
	"github.com/briarcross/briarcross/internal/answertest"
)

// clientUnderTest adapts a client to the properties of answertest.
type clientUnderTest struct {
	newClient func(base string, o engine.Options) engine.Client
	clients   map[string]engine.Client
}

func (c *clientUnderTest) Do(address, id string, body []byte) answertest.Result {
	if c.clients[address] == nil {
		c.clients[address] = c.newClient("http://"+address, engine.Options{})
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var r recordingSink
	result := c.clients[address].Run(ctx, engine.Request{ID: id, Method: "POST", Path: "/echo", Body: body}, r.sink)
	received := answertest.Result{Status: result.Status, Body: string(r.body), Complete: result.Complete}
	if r.head != nil {
		for _, field := range r.head.Headers {
			if field.GetName() == answertest.HeaderRun {
				received.Run = field.GetValue()
			}
		}
	}
	return received
}

func (c *clientUnderTest) Close() {
	for _, client := range c.clients {
		client.Close()
	}
}

// clientKinds are the clients of this package. A model client that talks to an engine sends it
// a cancel request after each failure, which would count as a run.
func clientKinds() []answertest.ClientKind {
	toEntry := func(base string, o engine.Options) engine.Client {
		o.TargetIsEntry = true
		return engine.NewModelClient(base, o)
	}
	kind := func(name string, newClient func(string, engine.Options) engine.Client) answertest.ClientKind {
		return answertest.ClientKind{Name: name, IDHeader: engine.HeaderRequestID, MarkHeader: "Mark", New: func() answertest.Client {
			return &clientUnderTest{newClient, make(map[string]engine.Client)}
		}}
	}
	return []answertest.ClientKind{kind("plain", engine.NewPlainClient), kind("model", toEntry)}
}

// eachClient runs a check with each kind of client.
func eachClient(t *testing.T, check func(*testing.T, answertest.ClientKind)) {
	for _, kind := range clientKinds() {
		t.Run(kind.Name, func(t *testing.T) { check(t, kind) })
	}
}

// A faulty engine wrote an earlier answer once more. It was taken for the answer to the next
// request on the connection.
func TestAnswersBelongToTheirExchange(t *testing.T) {
	eachClient(t, answertest.CheckAnswersBelongToTheirExchange)
}

func TestCopyOfAnAnswerIsNotTakenForThatOfTheNextRun(t *testing.T) {
	eachClient(t, answertest.CheckCopiesOfStatus)
}

// An answer with the status 000 reached the caller as a success.
func TestOtherBytesThanAnswersAreNone(t *testing.T) {
	eachClient(t, answertest.CheckHeads)
}

// An engine answered a long upload at once with a 200 without a length, sent a part of the body,
// ended its side of the connection and reset it. The part was taken for the whole answer.
func TestAnswersThatEndEarlyAreNotWhole(t *testing.T) {
	eachClient(t, answertest.CheckEnds)
}
