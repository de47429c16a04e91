package quota

import (
	"testing"
	"time"
)

// Guards against sequences of faults that break the bound and that random
// schedules reach too rarely. Each scenario fails if one rule of
// docs/decisions/allowances.md is not applied.
func TestScenarios(t *testing.T) {
	const margin = 1500 * time.Millisecond
	hold := testTiming.HostChangeDelay
	wait := func(sim *fleetSim, d time.Duration) { sim.run(sim.now + d) }
	for name, injectFaults := range map[string]func(sim *fleetSim){
		// A node has a current host list and an old, larger allowance.
		"old allowance": func(sim *fleetSim) {
			sim.allowances = append(sim.allowances, allowanceVersion{sim.now, quota{2, 1}})
			sim.processes[0].lagLists = time.Hour
			sim.processes[1].calls, sim.processes[2].calls = 0, 0
			wait(sim, hold+10*time.Second)
		},
		// A new instance grants leases while those of its predecessor are in use.
		"restart": func(sim *fleetSim) {
			for range 5 {
				sim.processes[0].dead = true
				sim.processes[0] = sim.startProcess(sim.entries[0], -margin, 0, 12)
				wait(sim, 5*time.Second)
			}
		},
		// A host hands its slot over and restarts with a list issued before that.
		"old list": func(sim *fleetSim) {
			sim.entries[0].leaving = sim.now
			wait(sim, 3*time.Second)
			sim.processes[0].dead = true
			sim.startProcess(sim.entries[0], 0, 6*time.Second, 12)
			wait(sim, 15*time.Second)
		},
		"old list within the margin": func(sim *fleetSim) {
			sim.entries[0].leaving = sim.now
			wait(sim, time.Second)
			sim.processes[0].dead = true
			sim.startProcess(sim.entries[0], -margin, 1200*time.Millisecond, 12).disconnected = true
			wait(sim, 15*time.Second)
		},
		// The name of a host is given to another host, and both run.
		"reused name": func(sim *fleetSim) {
			sim.entries[0].until, sim.processes[0].dead = sim.now, true
			sim.startProcess(sim.addHost("h0", sim.now), 0, 0, 12)
			wait(sim, 2*hold)
			sim.startProcess(sim.entries[0], 0, 0, 12)
			wait(sim, 10*time.Second)
		},
		// A repeated hand-over message reaches another host with the same name.
		"second receiver": func(sim *fleetSim) {
			sim.entries[0].leaving = sim.now
			wait(sim, 600*time.Millisecond)
			sim.entries[1].until, sim.processes[1].disconnected, sim.processes[2].disconnected = sim.now, true, true
			sim.startProcess(sim.addHost("h1", sim.now), -margin, 0, 12)
			wait(sim, 12*time.Second)
		},
		// An ingress node with a lease from the host that hands its slot over is
		// cut off by a partition.
		"hand-over": func(sim *fleetSim) {
			sim.entries[0].leaving = sim.now
			wait(sim, 600*time.Millisecond)
			sim.processes[2].partition = 1
			wait(sim, 4*time.Second)
		},
		// A host with a slow clock is removed, and another has a fast clock.
		"removed": func(sim *fleetSim) {
			sim.processes[0].skew, sim.processes[1].skew = -margin, margin
			sim.processes[0].lagHosts, sim.processes[2].disconnected = 4*time.Second, true
			sim.entries[0].until = sim.now
			wait(sim, hold+8*time.Second)
		},
		// A host with a fast clock is added, and the others have slow clocks.
		"added": func(sim *fleetSim) {
			sim.processes[0].skew, sim.processes[1].skew = -margin, -margin
			sim.startProcess(sim.addHost("", sim.now), margin, 0, 12)
			wait(sim, hold+8*time.Second)
		},
		// The service is published again while its old hosts keep running.
		"service published again": func(sim *fleetSim) {
			sim.serviceSince = sim.now
			for i := range sim.entries {
				sim.entries[i].until, sim.processes[i].disconnected = sim.now, true
			}
			sim.startProcess(sim.addHost("", sim.now), 0, 0, 12)
			sim.startProcess(sim.addHost("", sim.now), 0, 0, 12)
			wait(sim, 12*time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(4) {
				sim := newFleetSim(seed, 2, quota{20, 1 + float64(seed%2)})
				for _, e := range sim.entries {
					sim.startProcess(e, 0, 0, 12)
				}
				sim.startProcess(hostEntry{name: "ingress"}, 0, 0, 12)
				wait(sim, 8*time.Second)
				injectFaults(sim)
				if err := sim.check(); err != nil {
					t.Error(err)
				}
			}
		})
	}
}
