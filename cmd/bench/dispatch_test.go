package main

import (
	"flag"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

var dispatchArgs = flag.String("dispatch", "-length 1s", "arguments of bench dispatch, which runs in virtual time")

// Guards against a request that runs more than once in the simulation of bench
// dispatch. It runs in virtual time, so its results do not depend on the load of the
// machine.
func TestDispatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		if err := runDispatch(t.Context(), strings.Fields(*dispatchArgs)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute) // lets the simulated hosts finish
	})
}
