// Command standins runs the script cases of the review: it starts a small deployment of
// briarcross with stand-ins for clients, engines and the operator.
//
//	standins CASE FOLDER
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxCaseTime is below the time that a case may take.
const maxCaseTime = 112 * time.Second

// trouble is false for the run without the disruption.
var trouble = os.Getenv("TROUBLE") != "0"

var cases = map[string]func(*deployment) (broken bool){
	"late-500":       late500,
	"versions":       versions,
	"expect-version": expectVersion,
	"foreign":        foreign,
}

func main() { os.Exit(run()) }

func run() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE FOLDER")
		return 2
	}
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	var d *deployment
	defer func() {
		if d != nil {
			d.stop()
		}
	}()
	defer func() {
		if p := recover(); p != nil {
			u, ok := p.(unable)
			if !ok {
				panic(p)
			}
			r.line("the case could not run: %s", u.reason)
			code = 2
		}
	}()
	d = newDeployment(r)
	// The processes end with the case, also if it is stopped or takes too long.
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-ended:
		case <-time.After(maxCaseTime):
		}
		r.line("the case was stopped")
		d.stop()
		r.close()
		os.Exit(2)
	}()
	r.line("case %s, trouble %v", os.Args[1], trouble)
	if cases[os.Args[1]](d) {
		r.line("the rule was broken")
		return 1
	}
	r.line("the rule held")
	return 0
}
