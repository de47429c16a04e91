package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/time/rate"
)

// usableFraction runs a healthy fleet for 20 s with a customer whose offered load
// is load times its rate, the fraction skew of it at one node and the rest evenly
// at all nodes. It returns the fractions of the usable rate that leases and an
// equal split granted.
func usableFraction(sim *fleetSim, a quota, load, skew float64) (leases, split float64) {
	sim.delay = 10 * time.Millisecond
	n := float64(len(sim.entries))
	for i, e := range sim.entries {
		p := sim.startProcess(e, 0, 0, load*a.rate*(1-skew)/n*testTick.Seconds())
		if i == 0 {
			p.calls += load * a.rate * skew * testTick.Seconds()
		}
		p.equalSplit = rate.NewLimiter(rate.Limit(a.rate/n), int(a.burst/n))
	}
	sim.run(sim.now + 10*time.Second) // start-up
	grantsBefore := len(sim.grants)
	for _, p := range sim.processes {
		p.equalSplitGrants = 0
	}
	const span = 20 * time.Second
	sim.run(sim.now + span)
	usableCalls := min(load, 1) * a.rate * span.Seconds()
	baseline := 0
	for _, p := range sim.processes {
		baseline += p.equalSplitGrants
	}
	return float64(len(sim.grants)-grantsBefore) / usableCalls, float64(baseline) / usableCalls
}

// Guards against a customer whose calls are spread unevenly over the nodes losing
// a part of its allowance, as it does with an equal split.
func TestUsableShare(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		hosts             int
		a                 quota
		load, skew, least float64
	}{
		{7, quota{100, 50}, 1.5, 1, 0.95},
		{20, quota{200, 20}, 1.5, 1, 0.95},
		{20, quota{200, 100}, 1.2, 0.8, 0.9},
		{20, quota{200, 100}, 1.2, 0, 0.9},
		{20, quota{200, 100}, 0.8, 1, 0.95},
		{100, quota{500, 250}, 1.5, 1, 0.95},
		{100, quota{500, 50}, 1.5, 1, 0.95},
	} {
		sim := newFleetSim(7, c.hosts, c.a)
		leases, split := usableFraction(sim, c.a, c.load, c.skew)
		t.Logf("%3d hosts, rate %g, burst %g, load %g, skew %g: leases %.3f, equal split %.3f; %d B/s, %d messages/s in the fleet",
			c.hosts, c.a.rate, c.a.burst, c.load, c.skew, leases, split, sim.bytes/30, sim.messages/30)
		is.NoErr(sim.check())
		is.True(leases >= c.least)
	}
}
