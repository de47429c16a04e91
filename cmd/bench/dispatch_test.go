package main

import (
	"flag"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

var dispatchArgs = flag.String("dispatch", "-length 1s", "arguments of bench dispatch, which runs in virtual time")

// Guards against a request that runs twice in the simulation of bench dispatch.
// In virtual time its figures do not depend on the load of the machine.
func TestDispatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		if err := dispatch(t.Context(), strings.Fields(*dispatchArgs)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute) // the simulated hosts finish
	})
}
