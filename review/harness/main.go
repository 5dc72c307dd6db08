// Command harness runs one case of the review: it starts the system's processes on loopback
// addresses, with stand-ins for engines, clients and the operator, and judges a rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
	"time"
)

// host is the host of all routes.
const host = "nony24.example"

// Exit codes of a script.
const (
	ruleHeld   = 0
	ruleBroken = 1
	couldntRun = 2
)

// verdict is the result of a case: what broke the rule, empty if it held.
type verdict struct {
	broken []string
}

func (v *verdict) add(format string, args ...any) {
	v.broken = append(v.broken, fmt.Sprintf(format, args...))
}

var cases = map[string]func(f *fleet, trouble bool) (verdict, error){
	"blocked":   blocked,
	"heartbeat": foreignHeartbeat,
	"endless":   endless,
	"split":     split,
	"deadly":    deadly,
	"spoiled":   spoiled,
	"takeup":    takeup,
	"reports":   reports,
	"unread":    unread,
	"incident":  incident,
	"crashing":  crashing,
	"stopping":  stopping,
}

// The processes end with the thread that started them.
func init() { runtime.LockOSThread() }

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Println("usage: harness CASE REPOSITORY RECORD")
		return couldntRun
	}
	rec, err := openRecord(os.Args[3])
	if err != nil {
		fmt.Println(err)
		return couldntRun
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return couldntRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("case %s, disruption %v", os.Args[1], trouble)
	f, err := newFleet(rec, root, 2)
	if err != nil {
		fmt.Println(err)
		return couldntRun
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(118 * time.Second):
			rec.say("the case took too long")
		}
		f.stop()
		os.Exit(couldntRun)
	}()
	v, err := cases[os.Args[1]](f, trouble)
	f.stop()
	switch {
	case err != nil:
		rec.say("couldn't run: %v", err)
		return couldntRun
	case len(v.broken) > 0:
		for _, line := range v.broken {
			rec.say("broken: %s", line)
		}
		return ruleBroken
	}
	rec.say("the rule held")
	return ruleHeld
}
