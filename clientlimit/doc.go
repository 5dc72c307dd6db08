// Package clientlimit decides how much memory, how many connections and how much time the clients
// of a daemon may hold.
//
// A Limiter is a table of connections and requests. It does no I/O, reads no clock and starts no
// goroutine: the time is an argument, and who is to be evicted is a result. Host code (see
// daemon.Clients) owns it, carries the results out, and reports when a connection is closed or a
// request has ended.
//
// The contract of a Limiter:
//
//   - The memory that it has granted never exceeds Limits.MemoryBytes. Requests larger than
//     Limits.SmallBytes together never exceed that less Limits.ReservedBytes.
//   - Memory is granted before it is used, as bytes arrive; it counts until its request releases it
//     or ends. That of an evicted request counts until it has ended.
//   - Only a request whose body is incomplete and behind the minimum rate is evicted, the one that
//     is furthest behind first. A complete one is never given up for another.
//   - Only a connection without a request in service is closed for another, the one that has been
//     so for longest first. If there is none, it is one whose request is evicted.
//   - Equal calls in equal order give equal results.
package clientlimit
