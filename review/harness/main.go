// Command harness runs the scripts of the review: a small deployment of nodes as processes,
// with stand-ins for clients, servers and the platform's store, and one disruption.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit statuses of a script.
const (
	ruleHeld   = 0
	ruleBroken = 1
	couldntRun = 2
)

// scripts are the cases by their names. Each returns whether the rule was broken.
var scripts = map[string]func(r *record, trouble bool) (broken bool, err error){
	"cold":    runCold,
	"cut":     runCut,
	"readers": runReaders,
	"reuse":   runReuse,
	"zombie":  runZombie,
}

func main() {
	if len(os.Args) != 3 || scripts[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER; without the disruption if TROUBLE=0")
		os.Exit(couldntRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(name, folder string, trouble bool) int {
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "harness:", err)
		return couldntRun
	}
	r.say("case %s, disruption: %v", name, trouble)
	broken, err := scripts[name](r, trouble)
	status := ruleHeld
	switch {
	case err != nil:
		r.say("the case couldn't run: %v", err)
		status = couldntRun
	case broken:
		r.say("the rule was broken")
		status = ruleBroken
	default:
		r.say("the rule held")
	}
	if err := r.close(); err != nil {
		fmt.Fprintln(os.Stderr, "harness:", err)
		return couldntRun
	}
	return status
}
