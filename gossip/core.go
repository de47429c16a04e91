// Package gossip keeps the published documents in force at this node and
// spreads them between nodes.
//
// There is no leader. Each node reads the platform's index now and then, such
// that the fleet's reads stay within a total, tells a few peers in each period
// which versions it holds, and tells them at once when it accepts a newer one.
// Whoever learns of a newer version pulls the body from the peer that told it or
// reads it from the platform. docs/decisions/documents.md compares this with a
// leader in each data centre.
//
// Core holds every decision, without sockets, goroutines or locks. Node connects
// it to the transport, the platform and the clock.
package gossip

import (
	"fmt"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	prim "github.com/primrosethread/primrosethread"
)

// ActionKind says what a Core asks its owner to do.
type ActionKind uint8

// The kinds of actions.
const (
	// Tell sends Message to To.
	Tell ActionKind = iota
	// Ask sends Message to To and passes the answer to Core.Answered.
	Ask
	// ReadIndex reads the platform's index and passes it to Core.Index.
	ReadIndex
	// ReadDocument reads Name from the platform and passes it to Core.Read.
	ReadDocument
)

// Action is something that a Core asks its owner to do. Each Ask, ReadIndex and
// ReadDocument must be answered once, with an error if it failed.
type Action struct {
	Kind    ActionKind
	To      prim.HostName
	Name    string
	Message prim.Message
	version uint64 // the offered version
}

// Core decides about documents at one node. It is not safe for concurrent use.
// Its methods take the current time, which must not go back.
type Core struct {
	config  Config
	docs    map[string]*held
	view    *prim.View
	peers   peerList
	hosts   int // hosts that the list counts; 0 while it is unknown
	started time.Time
	heard   map[prim.HostName]time.Time
	digests budget

	nextPush time.Time
	nextRead time.Time
	reading  bool
	bodies   int  // body reads that no gap has made up for yet
	reads    int  // index reads made while the number of hosts was unknown
	fresher  bool // an Issued rose since the view was published
	alone    bool // the node was isolated at the last push

	platformError   string
	platformErrorAt time.Time
	platformLogged  time.Time
}

// NewCore checks the configuration and returns a Core without documents.
func NewCore(config Config, now time.Time) (*Core, error) {
	config, err := config.withDefaults()
	if err != nil {
		return nil, err
	}
	c := &Core{
		config:   config,
		docs:     make(map[string]*held),
		view:     prim.NewView(prim.ViewConfig{Digests: map[string]prim.Digest{}}),
		started:  now,
		heard:    make(map[prim.HostName]time.Time),
		digests:  newBudget(config.DigestRate, int(10*config.DigestRate)),
		nextPush: now,
		nextRead: now.Add(time.Duration(float64(firstRead(config)) * config.Rand.Float64())),
	}
	shared := newBudget(config.BodyRate/2, config.BodyBurst/2)
	for _, n := range prim.DocumentNames {
		part := 2 * len(prim.DocumentNames)
		own := newBudget(config.BodyRate/float64(part), config.BodyBurst/part)
		c.docs[n] = &held{budget: budgets{own, shared}}
	}
	return c, nil
}

// firstRead bounds the time until the first read of the index. With seeds the
// documents usually arrive before it. A fleet of 9,100 that starts at once then
// reads 1,820 times a second, within what the platform can answer.
func firstRead(c Config) time.Duration {
	if len(c.Seeds) > 0 {
		return isolatedGap
	}
	return minGap
}

// View returns the documents in force.
func (c *Core) View() *prim.View { return c.view }

// Next returns when Step must be called next.
func (c *Core) Next(now time.Time) time.Time {
	t := c.nextPush
	if !c.reading && c.nextRead.Before(t) {
		t = c.nextRead
	}
	for _, h := range c.docs {
		if o, at := h.next(now); o != nil && at.Before(t) {
			t = at
		}
	}
	return t
}

// Step does what is due at now.
func (c *Core) Step(now time.Time) []Action {
	var as []Action
	if !now.Before(c.nextPush) {
		c.nextPush = now.Add(spread(c.config.Period, c.config.Rand))
		as = c.push(now)
	}
	if !c.reading && !now.Before(c.nextRead) {
		c.reading = true
		as = append(as, Action{Kind: ReadIndex})
	}
	return append(as, c.fetch(now)...)
}

// push tells some peers everything that this node holds. A node that knows no
// hosts, or hears none, also tells a seed, whose answer names what is newer
// there. A node that hears few does not: in a partition they are many, and the
// seeds are few.
func (c *Core) push(now time.Time) []Action {
	if c.fresher {
		c.publish(c.view)
	}
	for h, t := range c.heard {
		if now.Sub(t) > heardWindow {
			delete(c.heard, h)
		}
	}
	to := c.peers.choose(c.config.Fanout, c.config.Rand)
	isolated := c.isolated(now)
	if n := len(c.config.Seeds); n > 0 && (c.hosts == 0 || isolated && len(c.heard) == 0) {
		to = c.add(to, c.config.Seeds[c.config.Rand.IntN(n)])
	}
	if hs := c.view.Hosts.Hosts; isolated && len(hs) > 0 {
		// The usual peers may all be on the other side of a partition.
		for range c.config.Fanout {
			to = c.add(to, hs[c.config.Rand.IntN(len(hs))].Name)
		}
	}
	if isolated && !c.alone {
		// The gap was chosen before the peers fell silent.
		t := now.Add(time.Duration(float64(isolatedSpread) * c.config.Rand.Float64()))
		if t.Before(c.nextRead) {
			c.nextRead = t
		}
	}
	c.alone = isolated
	return c.tell(now, to, true, c.held())
}

// add appends a host that is neither this node nor in the list yet.
func (c *Core) add(to []prim.HostName, h prim.HostName) []prim.HostName {
	if h == c.config.Self || slices.Contains(to, h) {
		return to
	}
	return append(to, h)
}

// isolated reports whether so few different peers are heard that news may not
// reach this node through them.
func (c *Core) isolated(now time.Time) bool {
	all := len(c.peers.local) + len(c.peers.remote)
	return c.hosts > 0 && now.Sub(c.started) >= heardWindow && len(c.heard) < min(isolatedBelow, all)
}

// gap returns the time until the next read of the index.
func (c *Core) gap(now time.Time) time.Duration {
	mean := meanGap(c.hosts, 1+c.bodies, c.config.FleetReads)
	if c.hosts == 0 {
		// The fleet may be large, so the reads thin out until the list is known.
		mean = min(maxUnknownGap, mean<<min(c.reads, 10))
		c.reads++
		return spread(mean, c.config.Rand)
	}
	gap := regularGap(mean, c.config.Rand)
	if c.isolated(now) {
		return min(gap, spread(isolatedGap, c.config.Rand))
	}
	return gap
}

func (c *Core) held() []prim.Digest {
	var ds []prim.Digest
	for _, n := range prim.DocumentNames {
		if h := c.docs[n]; h.Version > 0 {
			ds = append(ds, h.Digest)
		}
	}
	return ds
}

func (c *Core) tell(now time.Time, to []prim.HostName, full bool, ds []prim.Digest) []Action {
	m := prim.Message{Kind: KindDigest, Body: encodeDigests(full, ds)}
	var as []Action
	for _, p := range to {
		if !c.digests.ready(now) {
			break
		}
		c.digests.charge(now, len(m.Body)+FrameOverhead)
		as = append(as, Action{Kind: Tell, To: p, Message: m})
	}
	return as
}

// fetch starts the attempts that are due.
func (c *Core) fetch(now time.Time) []Action {
	var as []Action
	for _, n := range prim.DocumentNames {
		h := c.docs[n]
		o, at := h.next(now)
		if o == nil || at.After(now) {
			continue
		}
		o.pending++
		h.pending++
		h.lastFetch = now
		if o.source == "" {
			c.bodies++
			as = append(as, Action{Kind: ReadDocument, Name: n, version: o.Version})
			continue
		}
		m := prim.Message{Kind: KindPull, Body: encode(pullMessage{Name: n, Have: h.Version})}
		as = append(as, Action{Kind: Ask, To: o.source, Name: n, Message: m, version: o.Version})
	}
	return as
}

// learn takes digests from a source and returns those of which this node holds
// a newer version.
func (c *Core) learn(now time.Time, source prim.HostName, ds []prim.Digest) (behind []prim.Digest) {
	for _, d := range ds {
		h := c.docs[d.Name]
		if h == nil {
			continue
		}
		d.Issued = plausible(d.Issued, now)
		switch {
		case d.Version < h.Version:
			behind = append(behind, h.Digest)
		case d.Version == h.Version && d.Hash != h.Hash && h.Version > 0:
			c.refuse(now, source, prim.Document{Digest: d},
				Error.New("version %d is in force with hash %d; publish a changed document under a higher version", h.Version, h.Hash))
		case h.refresh(d):
			c.fresher = true
		case h.wants(d):
			h.offered(source, d)
		}
	}
	return behind
}

// plausible replaces a time of issue that lies in the future by an unknown one.
func plausible(issued, now time.Time) time.Time {
	if issued.After(now.Add(issuedMargin)) {
		return time.Time{}
	}
	return issued
}

// Index takes the platform's index or the error of reading it.
func (c *Core) Index(now time.Time, ds []prim.Digest, err error) []Action {
	c.reading = false
	behind := c.learn(now, "", ds)
	if err == nil && len(behind) > 0 {
		err = Error.New("index is stale: it has %s at a version below %d; check the replica", behind[0].Name, behind[0].Version)
	}
	c.platform(now, err)
	as := c.fetch(now)
	c.nextRead = now.Add(c.gap(now))
	c.bodies = 0
	return as
}

// platformLogEvery is the least time between two log lines about failed reads. With
// one replica of several down every other read fails.
const platformLogEvery = time.Minute

// platform notes the result of a read of the platform.
func (c *Core) platform(now time.Time, err error) {
	if err == nil {
		c.platformError = ""
		return
	}
	if now.Sub(c.platformLogged) >= platformLogEvery {
		c.platformLogged = now
		c.config.Log.Warn("reading the configuration service failed; documents in force stay", "Error", err)
	}
	c.platformError, c.platformErrorAt = err.Error(), now
}

// Receive takes a message of the kinds Digest and Pull. The answer is empty
// unless the message is a Pull.
func (c *Core) Receive(now time.Time, from prim.HostName, m prim.Message) (prim.Message, []Action, error) {
	if m.Kind == KindPull {
		a, err := c.serve(now, m.Body)
		return a, nil, err
	}
	full, ds, err := decodeDigests(m.Body)
	if err != nil {
		return prim.Message{}, nil, err
	}
	c.heard[from] = now
	behind := c.learn(now, from, ds)
	if full {
		for _, d := range c.held() {
			if !slices.ContainsFunc(ds, func(o prim.Digest) bool { return o.Name == d.Name }) {
				behind = append(behind, d)
			}
		}
	}
	as := c.fetch(now)
	if len(behind) > 0 {
		as = append(as, c.tell(now, []prim.HostName{from}, false, behind)...)
	}
	return prim.Message{}, as, nil
}

func (c *Core) serve(now time.Time, body []byte) (prim.Message, error) {
	var p pullMessage
	if err := decoder.Unmarshal(body, &p); err != nil {
		return prim.Message{}, Error.New("pull is not valid CBOR: %v; check the sender's version", err)
	}
	h := c.docs[p.Name]
	if h == nil || h.Version <= p.Have {
		return prim.Message{}, Error.New("no version of %q above %d here; ask another node", p.Name, p.Have)
	}
	if !h.budget.ready(now) {
		return prim.Message{}, Error.New("byte budget for %q is used up; ask another node", p.Name)
	}
	b := encode(documentMessage{Entry: toEntry(h.Digest), Body: h.Body})
	h.budget.charge(now, len(b)+FrameOverhead)
	return prim.Message{Kind: KindDocument, Body: b}, nil
}

// Answered takes the answer of an Ask or its error.
func (c *Core) Answered(now time.Time, a Action, m prim.Message, err error) []Action {
	var d documentMessage
	if err == nil {
		c.docs[a.Name].budget.charge(now, len(m.Body)+FrameOverhead)
		err = decoder.Unmarshal(m.Body, &d)
	}
	return c.arrived(now, a, prim.Document{Digest: d.Entry.digest(), Body: d.Body}, err)
}

// Read takes the result of a ReadDocument or its error.
func (c *Core) Read(now time.Time, a Action, d prim.Document, err error) []Action {
	c.docs[a.Name].budget.charge(now, len(d.Body))
	if err != nil {
		c.platform(now, err)
	}
	return c.arrived(now, a, d, err)
}

func (c *Core) arrived(now time.Time, a Action, d prim.Document, err error) []Action {
	h := c.docs[a.Name]
	if err == nil && (d.Name != a.Name || len(d.Body) > prim.MaxDocument || xxh3.Hash(d.Body) != d.Hash) {
		// Damage on the way says nothing about the version, so it is not refused.
		err = Error.New("document %q from %s does not match its digest", a.Name, sourceName(a.To))
	}
	var as []Action
	if err == nil {
		d.Issued = plausible(d.Issued, now)
		as = c.accept(now, a.To, d)
	}
	h.ended(now, a.To, a.version)
	h.prune()
	return append(as, c.fetch(now)...)
}

// accept puts a newer document in force if it passes its check.
func (c *Core) accept(now time.Time, source prim.HostName, d prim.Document) []Action {
	h := c.docs[d.Name]
	if !h.wants(d.Digest) {
		c.fresher = h.refresh(d.Digest) || c.fresher
		return nil
	}
	v, err := c.parse(d)
	if err != nil {
		c.refuse(now, source, d, err)
		return nil
	}
	// Others may have told a later time of issue for this version.
	for _, o := range h.offers {
		if o.Version == d.Version && o.Hash == d.Hash && o.Issued.After(d.Issued) {
			d.Issued = o.Issued
		}
	}
	h.Document, h.source, h.since = d, source, now
	h.prune()
	c.publish(v)
	if d.Name == prim.NameHosts {
		c.peers, c.hosts = derivePeers(c.view, c.config.Self, c.config.DataCentre)
	}
	as := c.tell(now, c.peers.choose(c.config.Fanout, c.config.Rand), false, []prim.Digest{h.Digest})
	return append(as, c.recheck(now)...)
}

// recheck tries the refused documents again, since their check may depend on
// the document that was just accepted.
func (c *Core) recheck(now time.Time) []Action {
	for _, n := range prim.DocumentNames {
		h := c.docs[n]
		for i, r := range h.refused {
			if r.document.Body == nil || r.document.Version <= h.Version {
				continue
			}
			if _, err := c.parse(r.document); err == nil {
				h.refused = slices.Delete(h.refused, i, i+1)
				return c.accept(now, r.from, r.document)
			}
		}
	}
	return nil
}

// parse runs the configured check. A panic is a refusal: every node checks the
// same document, so it would end all of them at once.
func (c *Core) parse(d prim.Document) (v *prim.View, err error) {
	defer func() {
		if p := recover(); p != nil {
			v, err = nil, Error.New("check of %q panicked: %v; report this fault", d.Name, p)
		}
	}()
	v, err = c.config.Parse(d, c.view)
	if err == nil && v == nil {
		err = Error.New("check of %q returned no view; report this fault", d.Name)
	}
	return v, err
}

// refuse notes a refused document and reports it once.
func (c *Core) refuse(now time.Time, source prim.HostName, d prim.Document, err error) {
	h := c.docs[d.Name]
	r := Refused{Version: d.Version, Hash: d.Hash, Source: sourceName(source), Error: err.Error(), At: now}
	if l := h.lastRefused; l == nil || l.Version != r.Version || l.Hash != r.Hash {
		h.lastRefused = &r
		c.config.Log.Error("document refused; the one in force stays",
			"Document", d.Name, "Version", d.Version, "InForce", h.Version, "Source", r.Source, "Error", err)
	}
	if h.wants(d.Digest) {
		h.remember(refusal{document: d, from: source})
	}
}

// publish makes a view with the current digests. The indexes of v are shared, so
// a change of Issued alone costs no indexing.
func (c *Core) publish(v *prim.View) {
	w := *v
	w.Digests = make(map[string]prim.Digest, len(c.docs))
	for _, d := range c.held() {
		w.Digests[d.Name] = d
	}
	c.view, c.fresher = &w, false
}

func sourceName(h prim.HostName) string {
	if h == "" {
		return "platform"
	}
	return fmt.Sprintf("host %q", string(h))
}
