package upstream

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/briarcross/briarcross/internal/answertest"
)

// clientUnderTest adapts a Client to the properties of answertest.
type clientUnderTest struct {
	*Client
	addresses map[string]struct{}
}

func newClientUnderTest() answertest.Client {
	return &clientUnderTest{NewClient(testCodec{}, nil), make(map[string]struct{})}
}

func (c *clientUnderTest) Do(address, id string, body []byte) answertest.Result {
	c.addresses[address] = struct{}{}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	request := newRequest(address, id)
	request.Body = body
	response, err := c.Client.Do(ctx, request)
	if err != nil {
		return answertest.Result{}
	}
	defer response.Close()
	received, err := io.ReadAll(response.Body)
	return answertest.Result{
		Run: response.Header.Get(answertest.HeaderRun), Status: response.Status, Body: string(received),
		Complete: err == nil && response.Complete(),
	}
}

func (c *clientUnderTest) Close() {
	for address := range c.addresses {
		c.ClosePool(address)
	}
}

var clientKind = answertest.ClientKind{Name: "upstream", New: newClientUnderTest, IDHeader: "Id", MarkHeader: "Mark"}

// A faulty engine wrote an earlier answer once more. It was taken for the answer to the next
// request with the same ID: two failures of a batch item counted as three.
func TestAnswersBelongToTheirExchange(t *testing.T) {
	answertest.CheckAnswersBelongToTheirExchange(t, clientKind)
}

func TestCopyOfAnAnswerIsNotTakenForThatOfTheNextRun(t *testing.T) {
	answertest.CheckCopiesOfStatus(t, clientKind)
}

// Answers with a status such as 000 or 042 were taken for answers. They reached a call that
// panics, so that the request ended without an answer, or callers as such.
func TestOtherBytesThanAnswersAreNone(t *testing.T) {
	answertest.CheckHeads(t, clientKind)
}

// An engine answered a long upload at once with a 200 without a length, sent a part of the body,
// ended its side of the connection and reset it. The part was taken for the whole answer.
func TestAnswersThatEndEarlyAreNotWhole(t *testing.T) {
	answertest.CheckEnds(t, clientKind)
}
