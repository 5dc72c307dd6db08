// Package quota decides whether the quota of a customer leaves room for a request, over all
// entries together.
//
// It is a core: it has no clock, no I/O and no goroutine. A Ledger belongs to one entry and
// is not safe for concurrent use. Its host passes the time to each call, tells it which
// entries there are (SetMembers), sends the counts of Counts to the other entries, and
// applies what they send (ApplyCounts, ApplySummary). Time must not go back.
//
// The load pattern: a customer sends several times its quota for some seconds, through many
// entries or a few, while entries are lost, restarted, cut off or frozen. In any window,
// the requests that all entries admit stay within
//
//	(PerSecond x Window + Burst) x (1 + Over) + Slack
//
// and a customer below its quota is not refused as long as the entries hear each other.
package quota
