package sidecard

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/engine"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/sidecar"
)

func TestItemOutcomes(t *testing.T) {
	done := &pb.AnswerEnd{Outcome: pb.Outcome_OUTCOME_DONE}
	truncated := &pb.AnswerEnd{Outcome: pb.Outcome_OUTCOME_UNKNOWN, Reason: pb.Reason_REASON_TRUNCATED}
	refused := &pb.AnswerEnd{Outcome: pb.Outcome_OUTCOME_NOT_RUN, Reason: pb.Reason_REASON_CONNECT_FAILED}
	tests := []struct {
		name   string
		end    *pb.AnswerEnd
		status int
		want   pb.ItemOutcome
	}{
		{"complete response", done, http.StatusOK, pb.ItemOutcome_ITEM_DONE},
		{"client error", done, http.StatusBadRequest, pb.ItemOutcome_ITEM_FAILED},
		{"engine busy", done, http.StatusTooManyRequests, pb.ItemOutcome_ITEM_RETRY},
		{"engine error", done, http.StatusInternalServerError, pb.ItemOutcome_ITEM_RETRY},
		{"truncated", truncated, http.StatusOK, pb.ItemOutcome_ITEM_RETRY},
		{"connect failed", refused, 0, pb.ItemOutcome_ITEM_NOT_RUN},
		{"released before it ran", releasedItemEnd(sidecar.ReleaseItem{}), 0, pb.ItemOutcome_ITEM_NOT_RUN},
		{"released after it ran", releasedItemEnd(sidecar.ReleaseItem{Ran: true}), 0, pb.ItemOutcome_ITEM_YIELDED},
	}
	for _, test := range tests {
		NewWithT(t).Expect(itemOutcome(test.end, test.status)).To(Equal(test.want), test.name)
	}
}

// A request counts as not run only when no byte of it was sent, and as done only
// when the whole response was received.
func TestOutcomeOfEngineCall(t *testing.T) {
	tests := []struct {
		name    string
		result  engine.Result
		stopped bool
		outcome pb.Outcome
		reason  pb.Reason
	}{
		{"complete", engine.Result{Sent: true, Complete: true}, false, pb.Outcome_OUTCOME_DONE, pb.Reason_REASON_NONE},
		{"complete before the stop", engine.Result{Sent: true, Complete: true}, true, pb.Outcome_OUTCOME_DONE, pb.Reason_REASON_NONE},
		{"not sent", engine.Result{}, false, pb.Outcome_OUTCOME_NOT_RUN, pb.Reason_REASON_CONNECT_FAILED},
		{"stopped", engine.Result{Sent: true, Tokens: 3}, true, pb.Outcome_OUTCOME_UNKNOWN, pb.Reason_REASON_CANCELLED},
		{"truncated", engine.Result{Sent: true, Tokens: 3}, false, pb.Outcome_OUTCOME_UNKNOWN, pb.Reason_REASON_TRUNCATED},
		{"no token", engine.Result{Sent: true}, false, pb.Outcome_OUTCOME_UNKNOWN, pb.Reason_REASON_ENGINE_FAILED},
	}
	for _, test := range tests {
		outcome, reason := outcomeOf(test.result, test.stopped)
		NewWithT(t).Expect(outcome).To(Equal(test.outcome), test.name)
		NewWithT(t).Expect(reason).To(Equal(test.reason), test.name)
	}
}
