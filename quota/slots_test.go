package quota

import (
	"testing"

	"pgregory.net/rapid"

	prim "github.com/primrosethread/primrosethread"
)

// Guards against owners with different versions of the allowances or a larger set
// of slots owning more in total than the largest allowance.
func TestPart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "slots")
		sim := newFleetSim(1, n+2, quota{1, 1})
		large := testTiming.windowAt(sim.viewAt(sim.now, sim.now), "s", epoch.Add(sim.now))
		sim.entries = sim.entries[:n]
		small := testTiming.windowAt(sim.viewAt(sim.now, sim.now), "s", epoch.Add(sim.now))
		var sum, most quota
		for _, id := range small.slots {
			a := prim.Allowance{
				Rate:  rapid.SampledFrom([]float64{1, 10, 20}).Draw(t, "rate"),
				Burst: rapid.SampledFrom([]float64{0.5, 1, 2, 3.7, 9, 40}).Draw(t, "burst"),
			}
			most = quota{max(most.rate, a.Rate), max(most.burst, a.Burst)}
			in := small
			if rapid.Bool().Draw(t, "large") {
				in = large
			}
			for i, x := range in.slots {
				if x == id {
					p := in.quota("c", "s", a, []int{i})
					sum = quota{sum.rate + p.rate, sum.burst + p.burst}
					if d := in.burstUnits("c", "s", a.Burst)[i]; a.Burst >= 1 && d != p.burst {
						t.Fatalf("burstUnits returns %g, quota %g", d, p.burst)
					}
				}
			}
		}
		if sum.rate > most.rate*(1+1e-9) || sum.burst > most.burst {
			t.Fatalf("slots own %v in total, want at most %v", sum, most)
		}
	})
}
