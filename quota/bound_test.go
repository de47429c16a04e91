package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against the fleet granting a customer more than its allowance in any
// interval. Random schedules vary the network, the clocks, the processes and the
// platform within the assumptions of docs/decisions/allowances.md.
func TestBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sim *fleetSim
		allowance := func(label string) quota {
			return quota{
				rapid.SampledFrom([]float64{2, 5, 20}).Draw(t, label+" rate"),
				rapid.SampledFrom([]float64{1, 2.5, 4}).Draw(t, label+" burst"),
			}
		}
		randomDuration := func(label string, most time.Duration) time.Duration {
			part := rapid.SampledFrom([]float64{0.01, 0.1, 0.4, 1}).Draw(t, label)
			return time.Duration(sim.rnd.Float64() * part * float64(most))
		}
		skew := func() time.Duration {
			return rapid.SampledFrom([]time.Duration{0, -testTiming.ClockMargin, testTiming.ClockMargin}).Draw(t, "skew")
		}
		lag := func() time.Duration {
			return rapid.SampledFrom([]time.Duration{0, 0, time.Second, testTiming.HostChangeDelay / 2, testTiming.HostChangeDelay * 3 / 4}).Draw(t, "lag")
		}
		calls := func() float64 { return rapid.SampledFrom([]float64{6, 6, 12, 0}).Draw(t, "calls") }
		sim = newFleetSim(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 5).Draw(t, "hosts"), allowance("first"))
		sim.loss = rapid.SampledFrom([]float64{0, 0, 0.2}).Draw(t, "loss")
		sim.duplication = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "duplication")
		sim.delay = rapid.SampledFrom([]time.Duration{0, time.Millisecond, testTiming.LeaseTerm / 4, 2 * testTiming.LeaseTerm}).Draw(t, "delay")
		for _, e := range sim.entries {
			sim.startProcess(e, skew(), 0, calls())
		}
		sim.run(sim.now + 6*time.Second)
		// liveProcess returns a random live process, or nil if there is none.
		liveProcess := func() *process {
			var ps []*process
			for _, p := range sim.processes {
				if !p.dead {
					ps = append(ps, p)
				}
			}
			if len(ps) == 0 {
				return nil
			}
			return ps[rapid.IntRange(0, len(ps)-1).Draw(t, "process")]
		}
		listedEntry := func(p *process) *hostEntry {
			for i := range sim.entries {
				if e := &sim.entries[i]; e.address == p.config.Address && e.until == 0 {
					return e
				}
			}
			return nil
		}
		for range rapid.IntRange(8, 32).Draw(t, "steps") {
			sim.run(sim.now + randomDuration("step", 7*time.Second))
			p := liveProcess()
			op := rapid.SampledFrom([]string{
				"add", "remove", "replace", "leave", "stop", "stop", "restart", "freeze", "partition", "heal",
				"skew", "disconnect", "lag", "calls", "allowance", "wait", "republish", "stale lists",
			}).Draw(t, "operation")
			if p == nil {
				op = "add"
			}
			var e *hostEntry
			if p != nil {
				e = listedEntry(p)
			}
			switch op {
			case "add":
				sim.startProcess(sim.addHost("", sim.now), skew(), lag(), calls())
			case "remove", "replace":
				if e == nil {
					break
				}
				e.until = sim.now
				// The old process may keep running with its last host list.
				p.disconnected, p.dead = true, rapid.Bool().Draw(t, "dies")
				if op == "replace" {
					next := sim.addHost(p.config.Self, sim.now)
					sim.run(sim.now + randomDuration("start", time.Second))
					sim.startProcess(next, skew(), lag(), calls())
				}
			case "leave":
				if e != nil && e.leaving == 0 {
					e.leaving = sim.now
				}
			case "restart", "stop":
				if op == "stop" && e != nil && e.leaving == 0 {
					e.leaving = sim.now
					sim.run(sim.now + randomDuration("hand-over", 4*time.Second))
				}
				p.dead = true
				q := sim.startProcess(hostEntry{name: p.config.Self, address: p.config.Address}, skew(), lag(), calls())
				q.partition = p.partition
			case "freeze":
				p.frozen = sim.now + randomDuration("freeze", 8*time.Second)
			case "partition":
				p.partition = 1 - p.partition
			case "heal":
				for _, q := range sim.processes {
					q.partition = 0
				}
			case "skew":
				p.skew = skew()
			case "disconnect":
				p.disconnected = !p.disconnected
			case "lag":
				p.lagHosts, p.lagLists = lag(), lag()
			case "stale lists":
				p.lagLists = time.Hour
			case "calls":
				p.calls = calls()
			case "allowance":
				sim.allowances = append(sim.allowances, allowanceVersion{sim.now, allowance("next")})
			case "wait":
				sim.run(sim.now + randomDuration("long", 2*testTiming.HostChangeDelay))
			case "republish":
				// The platform removes the service and publishes it again.
				sim.serviceSince = sim.now
				for i := range sim.entries {
					if sim.entries[i].until == 0 {
						sim.entries[i].until = sim.now
					}
				}
				for range 2 {
					sim.startProcess(sim.addHost("", sim.now), skew(), 0, calls())
				}
			}
		}
		sim.run(sim.now + 4*time.Second)
		if err := sim.check(); err != nil {
			t.Fatal(err)
		}
	})
}
