package share

import (
	"testing"

	"pgregory.net/rapid"

	prim "github.com/primrosethread/primrosethread"
)

// Guards against owners that hold different versions of the allowances, or see a
// larger set of slots, owning more together than the largest allowance.
func TestPart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "slots")
		w := newWorld(1, n+2, part{1, 1})
		large := testTerms.windowAt(w.viewAt(w.now, w.now), "s", epoch.Add(w.now))
		w.entries = w.entries[:n]
		small := testTerms.windowAt(w.viewAt(w.now, w.now), "s", epoch.Add(w.now))
		var sum, most part
		for _, id := range small.slots {
			a := prim.Allowance{
				Rate:  rapid.SampledFrom([]float64{1, 10, 20}).Draw(t, "rate"),
				Burst: rapid.SampledFrom([]float64{0.5, 1, 2, 3.7, 9, 40}).Draw(t, "burst"),
			}
			most = part{max(most.rate, a.Rate), max(most.burst, a.Burst)}
			in := small
			if rapid.Bool().Draw(t, "large") {
				in = large
			}
			for i, x := range in.slots {
				if x == id {
					p := in.part("c", "s", a, []int{i})
					sum = part{sum.rate + p.rate, sum.burst + p.burst}
					if d := in.deal("c", "s", a.Burst)[i]; a.Burst >= 1 && d != p.burst {
						t.Fatalf("deal gives %g units, part %g", d, p.burst)
					}
				}
			}
		}
		if sum.rate > most.rate*(1+1e-9) || sum.burst > most.burst {
			t.Fatalf("slots own %v of at most %v", sum, most)
		}
	})
}
