package gossip

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/zeebo/xxh3"
	"pgregory.net/rapid"

	prim "github.com/primrosethread/primrosethread"
)

// Guards against a fleet of any size exceeding 400 platform reads per second, body
// reads included, and against a node reading the index twice within a second.
func TestReadRate(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for hosts := 1; hosts <= 20_000; hosts++ {
		for reads := 1; reads <= 1+len(prim.DocumentNames); reads++ {
			mean := meanReadInterval(hosts, reads, DefaultFleetReads)
			if totalRate := float64(hosts*reads) / mean.Seconds(); totalRate > DefaultFleetReads {
				t.Fatalf("%d nodes with %d reads per interval make %.1f reads per second", hosts, reads, totalRate)
			}
			if indexRate := float64(hosts) / mean.Seconds(); indexRate > DefaultFleetReads {
				t.Fatalf("%d nodes make %.1f index reads per second", hosts, indexRate)
			}
			if interval := randomReadInterval(mean, rng); interval < minReadInterval {
				t.Fatalf("%d nodes: interval of %s is below the minimum", hosts, interval)
			}
		}
	}
	var sum time.Duration
	for range 100_000 {
		sum += randomReadInterval(10*time.Second, rng)
	}
	if mean := sum / 100_000; mean < 9900*time.Millisecond {
		t.Fatalf("mean of 10 s intervals is too short: %s", mean)
	}
}

// Guards against transfers beyond the byte budget: in any time T at most rate*T +
// burst bytes plus the last transfer.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate, burst := rapid.IntRange(1, 5000).Draw(t, "rate"), rapid.IntRange(1, 5000).Draw(t, "burst")
		b := newBudget(float64(rate), burst)
		start := time.Unix(1_000_000, 0)
		now, transferred := start, 0
		for range 50 {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "wait")) * time.Millisecond)
			n := rapid.IntRange(0, 20_000).Draw(t, "bytes")
			if !b.ready(now) {
				if !b.ready(b.readyAt(now)) {
					t.Fatal("budget is not ready at the time returned by readyAt")
				}
				continue
			}
			if bound := float64(rate)*now.Sub(start).Seconds() + float64(burst); float64(transferred) > bound+1 {
				t.Fatalf("another transfer may start after %d bytes, bound %.0f", transferred, bound)
			}
			b.charge(now, n)
			transferred += n
		}
	})
}

// Guards against nodes that are no other node's peer and against peer lists that grow
// linearly with the fleet.
func TestPeersReachAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, dataCentres := rapid.IntRange(1, 300).Draw(t, "hosts"), rapid.IntRange(1, 17).Draw(t, "centres")
		var hosts []prim.Host
		for i := range n {
			d := prim.DataCentre(fmt.Sprint(rapid.IntRange(1, dataCentres).Draw(t, "centre")))
			hosts = append(hosts, prim.Host{Name: prim.HostName(fmt.Sprint("h", i)), DataCentre: d, State: prim.HostLive})
		}
		v := prim.NewView(prim.ViewConfig{Hosts: prim.Hosts{Hosts: hosts}})
		peers := map[prim.HostName][]prim.HostName{}
		for _, h := range hosts {
			ps, count := derivePeers(v, h.Name, h.DataCentre)
			if count != n || len(ps.local) > 9 || len(ps.remote) > 5 {
				t.Fatalf("%d hosts counted of %d, %d local and %d remote peers", count, n, len(ps.local), len(ps.remote))
			}
			peers[h.Name] = append(ps.local, ps.remote...)
		}
		for _, from := range hosts[:min(n, 5)] {
			seen := map[prim.HostName]bool{from.Name: true}
			for queue := []prim.HostName{from.Name}; len(queue) > 0; queue = queue[1:] {
				for _, p := range peers[queue[0]] {
					if !seen[p] {
						seen[p] = true
						queue = append(queue, p)
					}
				}
			}
			if len(seen) != n {
				t.Fatalf("digests from %s reach %d of %d hosts", from.Name, len(seen), n)
			}
		}
	})
}

func newTestCore(t *testing.T, rate float64, parse func(prim.Document, *prim.View) (*prim.View, error)) (*Core, time.Time) {
	t.Helper()
	now := time.Unix(1_800_000_000, 0).UTC()
	c, err := NewCore(Config{Self: "h", Parse: parse, BodyRate: rate, BodyBurst: 1000, Rand: rand.New(rand.NewPCG(1, 1))}, now)
	is.New(t).NoErr(err)
	return c, now
}

func acceptAny(prim.Document, *prim.View) (*prim.View, error) {
	return prim.NewView(prim.ViewConfig{}), nil
}

func newDocument(name string, v uint64, issued time.Time, body string) prim.Document {
	return prim.Document{Digest: prim.Digest{Name: name, Version: v, Hash: xxh3.HashString(body), Issued: issued}, Body: []byte(body)}
}

// offerAndRead passes an index with d to the core, answers the reads that follow with
// d and returns their number.
func (c *Core) offerAndRead(now time.Time, d prim.Document) (reads int) {
	for _, a := range c.HandleIndex(now, []prim.Digest{d.Digest}, nil) {
		if a.Kind == ReadDocument {
			c.HandleDocument(now, a, d, nil)
			reads++
		}
	}
	return reads
}

// Guards against a replica with a wrong clock making a document appear current
// forever, and against accepting a changed body under the same version.
func TestImplausibleDigests(t *testing.T) {
	is := is.New(t)
	c, now := newTestCore(t, 0, acceptAny)
	c.offerAndRead(now, newDocument("Plans", 1, now, "1"))
	c.offerAndRead(now.Add(time.Second), newDocument("Plans", 1, now.Add(time.Hour), "1"))
	c.offerAndRead(now.Add(2*time.Second), newDocument("Plans", 2, now.Add(time.Hour), "2"))
	d := c.Status(now).Documents[0]
	is.Equal(d.Version, uint64(2))
	is.True(d.Issued.IsZero())
	is.Equal(c.offerAndRead(now.Add(3*time.Second), newDocument("Plans", 2, now, "other")), 0)
	is.Equal(c.Status(now).Documents[0].Hash, xxh3.HashString("2"))
	is.Equal(c.Status(now).Documents[0].Refused.Hash, xxh3.HashString("other"))
}

// Guards against a document that refers to a newer version of another document being
// refused forever if it arrives first, and against it being fetched again.
func TestRefusedUntilOtherArrives(t *testing.T) {
	is := is.New(t)
	c, now := newTestCore(t, 0, func(d prim.Document, v *prim.View) (*prim.View, error) {
		if d.Name == prim.NamePlans && v.Digests[prim.NameAllowances].Version < 2 {
			return nil, Error.New("plan is not in the allowances")
		}
		return prim.NewView(prim.ViewConfig{}), nil
	})
	plans := newDocument("Plans", 5, now, "p")
	is.Equal(c.offerAndRead(now, plans), 1)
	is.Equal(c.offerAndRead(now, plans), 0)
	c.offerAndRead(now, newDocument("Allowances", 1, now, "a"))
	is.Equal(c.View().Digests["Plans"].Version, uint64(0))
	c.offerAndRead(now, newDocument("Allowances", 2, now, "b"))
	is.Equal(c.View().Digests["Plans"].Version, uint64(5))
}

// Guards against a node serving bodies beyond its byte budget, and against a large
// document exhausting the budget of another one.
func TestServeWithinBudget(t *testing.T) {
	is := is.New(t)
	c, now := newTestCore(t, 400, acceptAny)
	c.offerAndRead(now, newDocument("Hosts", 1, now, string(make([]byte, 500))))
	c.offerAndRead(now, newDocument("Plans", 1, now, "p"))
	pull := func(name string, after time.Duration) error {
		_, _, err := c.HandleMessage(now.Add(after), "p", prim.Message{Kind: KindPull, Body: encode(pullMessage{Name: name})})
		return err
	}
	served := 0
	for served < 10 && pull("Hosts", 0) == nil {
		served++
	}
	is.True(served <= 2)
	is.NoErr(pull("Plans", 0))
	is.NoErr(pull("Hosts", 10*time.Second))
}

// Guards against corrupted or older documents being put in force.
func TestDamagedAnswer(t *testing.T) {
	is := is.New(t)
	c, now := newTestCore(t, 0, acceptAny)
	d := newDocument("Plans", 2, now, "body")
	as := c.HandleIndex(now, []prim.Digest{d.Digest}, nil)
	is.Equal(len(as), 1)
	d.Body = []byte("b0dy")
	c.HandleDocument(now, as[0], d, nil)
	is.Equal(len(c.View().Digests), 0)
	is.Equal(len(c.startFetches(now)), 0) // no immediate retry from the same source
	two, three := newDocument("Plans", 2, now, "two"), newDocument("Plans", 3, now, "three")
	late := c.HandleIndex(now, []prim.Digest{two.Digest}, nil)
	digest := prim.Message{Kind: KindDigest, Body: encodeDigests(false, []prim.Digest{three.Digest})}
	_, as, err := c.HandleMessage(now.Add(time.Minute), "p", digest)
	is.NoErr(err)
	c.HandleResponse(now.Add(time.Minute), as[0], prim.Message{Body: encode(documentMessage{Entry: newDigestEntry(three.Digest), Body: three.Body})}, nil)
	is.Equal(c.View().Digests["Plans"].Version, uint64(3))
	c.HandleDocument(now.Add(time.Minute), late[0], two, nil)
	is.Equal(c.View().Digests["Plans"].Version, uint64(3))
	_, _, err = c.HandleMessage(now, "p", prim.Message{Kind: KindDigest, Body: []byte{0x82, 0xf5, 0x9b}})
	is.True(err != nil)
}
