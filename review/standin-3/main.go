// Command standin-3 runs the cases of review 3: it starts nodes as processes, with stand-ins for
// the users' store, servers and clients, and checks one rule.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
// TROUBLE=0 in the environment it does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"runtime"
	"time"
)

const (
	exitHeld, exitBroken, exitNotRun = 0, 1, 2
	// longest is the time after which a case ends, whatever it waits for.
	longest = 110 * time.Second
)

// cases returns the exit status, or an error if the case could not run.
var cases = map[string]func(rec *record, trouble bool) (int, error){
	"trailers": runTrailers,
	"unsealed": runUnsealed,
	"unsaid":   runUnsaid,
	"target":   runTarget,
}

func main() {
	// Processes end with the thread that started them; see machine.startNode.
	runtime.LockOSThread()
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE RECORD")
		os.Exit(exitNotRun)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	time.AfterFunc(longest, func() {
		rec.event("not run: took too long")
		os.Exit(exitNotRun)
	})
	status, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.event("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		status = exitNotRun
	}
	os.Exit(status)
}
