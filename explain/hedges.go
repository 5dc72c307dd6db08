package explain

import (
	"fmt"

	"github.com/briarcross/briarcross/eventlog"
)

// hedgeReasonTexts explains the reasons of second attempts.
var hedgeReasonTexts = map[string]string{
	"first_event_late":  "most first events come earlier",
	"engine_slow":       "the first upstream was slow lately",
	"objective_at_risk": "a later second attempt would hardly have met the latency objective",
}

// hedgeResultTexts explains the results of second attempts.
var hedgeResultTexts = map[string]string{
	"won":       "the second attempt had the first event",
	"lost":      "the first attempt had the first event after all",
	"cancelled": "neither attempt had an event",
}

// hedgeCause tells of the second attempt of a request, if it had one.
func hedgeCause(lines []Line) string {
	text := ""
	for _, l := range lines {
		switch l.Event {
		case eventlog.RequestHedged:
			reason := l.name("reason")
			if reasonText, ok := hedgeReasonTexts[reason]; ok {
				reason += ": " + reasonText
			}
			text = fmt.Sprintf("; had no event from %s after %s ms and was sent to %s too (%s)", l.name("first_upstream"), l.name("delay_ms"), l.name("upstream"), reason)
		case eventlog.HedgeSettled:
			result := l.name("result")
			if resultText, ok := hedgeResultTexts[result]; ok {
				result += ": " + resultText
			}
			text += fmt.Sprintf(", %s ms later %s", l.name("race_ms"), result)
		}
	}
	return text
}
