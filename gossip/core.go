// Package gossip distributes the published documents among the nodes and holds the
// versions in force at this node.
//
// It is an epidemic protocol without a leader. Each node reads the platform's index
// at random intervals that keep the read rate of the whole fleet below a limit. In
// each period it sends a digest of the versions that it holds to a few peers, and it
// sends one immediately when it accepts a newer version. A node that learns of a
// newer version pulls the body from the peer that sent the digest or reads it from
// the platform. docs/decisions/documents.md compares this with a leader in each data
// centre.
//
// Core is the protocol's state machine, without sockets, goroutines or locks. Node
// connects it to the transport, the platform and the clock.
package gossip

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	prim "github.com/primrosethread/primrosethread"
)

// ActionKind is the type of an Action.
type ActionKind uint8

// Action kinds.
const (
	// Tell sends Message to To.
	Tell ActionKind = iota
	// Ask sends Message to To and passes the response to Core.HandleResponse.
	Ask
	// ReadIndex reads the platform's index and passes it to Core.HandleIndex.
	ReadIndex
	// ReadDocument reads Name from the platform and passes it to Core.HandleDocument.
	ReadDocument
)

// Action is an I/O operation that the caller of Core must perform. The result of
// each Ask, ReadIndex and ReadDocument must be passed back exactly once, as an error
// if the operation failed.
type Action struct {
	Kind    ActionKind
	To      prim.HostName
	Name    string
	Message prim.Message
	version uint64 // version to fetch, as offered by the source
}

// Core is the state machine of the gossip protocol at one node. It is not safe for
// concurrent use. Its methods take the current time, which must never decrease.
type Core struct {
	config       Config
	documents    map[string]*documentState
	view         *prim.View
	peers        peerList
	hostCount    int // hosts in the host list that are not lost; 0 while the list is unknown
	startedAt    time.Time
	heardAt      map[prim.HostName]time.Time
	digestBudget budget

	nextPushAt             time.Time
	nextIndexReadAt        time.Time
	indexReadPending       bool
	uncompensatedBodyReads int  // body reads since the read interval was last chosen
	unknownSizeReads       int  // index reads made while hostCount was 0
	issuedAdvanced         bool // an Issued advanced since the view was published
	wasIsolated            bool // whether the node was isolated at the last push
	nextSearched           int  // position in the host list of the next host to search for

	platformError    string
	platformErrorAt  time.Time
	platformLoggedAt time.Time
}

// NewCore validates the configuration and returns a Core without documents.
func NewCore(config Config, now time.Time) (*Core, error) {
	config, err := config.withDefaults()
	if err != nil {
		return nil, err
	}
	c := &Core{
		config:          config,
		documents:       make(map[string]*documentState),
		view:            prim.NewView(prim.ViewConfig{Digests: map[string]prim.Digest{}}),
		startedAt:       now,
		heardAt:         make(map[prim.HostName]time.Time),
		digestBudget:    newBudget(config.DigestRate, int(10*config.DigestRate)),
		nextPushAt:      now,
		nextSearched:    config.Rand.IntN(math.MaxInt32),
		nextIndexReadAt: now.Add(time.Duration(float64(maxFirstReadDelay(config)) * config.Rand.Float64())),
	}
	shared := newBudget(config.BodyRate/2, config.BodyBurst/2)
	for _, name := range prim.DocumentNames {
		shares := 2 * len(prim.DocumentNames)
		dedicated := newBudget(config.BodyRate/float64(shares), config.BodyBurst/shares)
		c.documents[name] = &documentState{budget: budgets{dedicated, shared}}
	}
	return c, nil
}

// maxFirstReadDelay returns the upper bound of the random delay before the first
// index read. With seeds the documents usually arrive earlier. A fleet of 9,100 nodes
// that start simultaneously then makes 1,820 reads per second, which the platform can
// serve.
func maxFirstReadDelay(c Config) time.Duration {
	if len(c.Seeds) > 0 {
		return isolatedReadInterval
	}
	return minReadInterval
}

// View returns the documents in force.
func (c *Core) View() *prim.View { return c.view }

// Next returns the time at which Step must be called next.
func (c *Core) Next(now time.Time) time.Time {
	next := c.nextPushAt
	if !c.indexReadPending && c.nextIndexReadAt.Before(next) {
		next = c.nextIndexReadAt
	}
	for _, doc := range c.documents {
		if o, at := doc.nextFetch(now); o != nil && at.Before(next) {
			next = at
		}
	}
	return next
}

// Step returns the actions that are due at now.
func (c *Core) Step(now time.Time) []Action {
	var actions []Action
	if !now.Before(c.nextPushAt) {
		period := c.config.Period
		if c.heardFew(now, searchWindow) {
			period /= searchPushes
		}
		c.nextPushAt = now.Add(jittered(period, c.config.Rand))
		actions = c.pushDigests(now)
	}
	if !c.indexReadPending && !now.Before(c.nextIndexReadAt) {
		c.indexReadPending = true
		actions = append(actions, Action{Kind: ReadIndex})
	}
	return append(actions, c.startFetches(now)...)
}

// pushDigests sends the digests of all documents that this node holds to some peers.
// A node that has no host list, or that is isolated and hears from no peer, also
// sends them to a seed, which answers with the digests that are newer there. A node
// that still hears from some peer does not: in a partition there are many such nodes
// and only few seeds.
func (c *Core) pushDigests(now time.Time) []Action {
	if c.issuedAdvanced {
		c.publishView(c.view)
	}
	for h, t := range c.heardAt {
		if now.Sub(t) > heardWindow {
			delete(c.heardAt, h)
		}
	}
	targets := c.peers.sample(c.config.Fanout, c.config.Rand)
	isolated := c.isolated(now)
	if seeds := len(c.config.Seeds); seeds > 0 && (c.hostCount == 0 || isolated && len(c.heardAt) == 0) {
		targets = c.appendTarget(targets, c.config.Seeds[c.config.Rand.IntN(seeds)])
	}
	if hosts := c.view.Hosts.Hosts; c.heardFew(now, searchWindow) && len(hosts) > 0 {
		// All regular peers may be on the other side of a partition, so send to all
		// hosts in turn as well. Those in reach may have no state and know nobody.
		for range min(c.config.Fanout, len(hosts)) {
			c.nextSearched = (c.nextSearched + 1) % len(hosts)
			targets = c.appendTarget(targets, hosts[c.nextSearched].Name)
		}
	}
	if isolated && !c.wasIsolated {
		// The next index read was scheduled before contact with the peers was lost,
		// so bring it forward.
		t := now.Add(time.Duration(float64(maxIsolatedReadDelay) * c.config.Rand.Float64()))
		if t.Before(c.nextIndexReadAt) {
			c.nextIndexReadAt = t
		}
	}
	c.wasIsolated = isolated
	return c.sendDigests(now, targets, true, c.heldDigests())
}

// appendTarget appends h to targets unless h is this node or already in targets.
func (c *Core) appendTarget(targets []prim.HostName, h prim.HostName) []prim.HostName {
	if h == c.config.Self || slices.Contains(targets, h) {
		return targets
	}
	return append(targets, h)
}

// isolated reports whether this node has heard from so few distinct peers that it
// may miss newer versions.
func (c *Core) isolated(now time.Time) bool { return c.heardFew(now, heardWindow) }

// heardFew reports whether this node, although it has been running that long, has heard
// from fewer than minHeardPeers distinct peers within a window of at most heardWindow.
func (c *Core) heardFew(now time.Time, window time.Duration) bool {
	if c.hostCount == 0 || now.Sub(c.startedAt) < window {
		return false
	}
	heard := 0
	for _, t := range c.heardAt {
		if now.Sub(t) <= window {
			heard++
		}
	}
	return heard < min(minHeardPeers, len(c.peers.local)+len(c.peers.remote))
}

// nextReadInterval returns the time until the next index read.
func (c *Core) nextReadInterval(now time.Time) time.Duration {
	mean := meanReadInterval(c.hostCount, 1+c.uncompensatedBodyReads, c.config.FleetReads)
	if c.hostCount == 0 {
		// The fleet may be large, so back off exponentially until the host list is
		// known.
		mean = min(maxUnknownSizeInterval, mean<<min(c.unknownSizeReads, 10))
		c.unknownSizeReads++
		return jittered(mean, c.config.Rand)
	}
	interval := randomReadInterval(mean, c.config.Rand)
	if c.isolated(now) {
		return min(interval, jittered(isolatedReadInterval, c.config.Rand))
	}
	return interval
}

// heldDigests returns the digests of the documents in force.
func (c *Core) heldDigests() []prim.Digest {
	var digests []prim.Digest
	for _, name := range prim.DocumentNames {
		if doc := c.documents[name]; doc.Version > 0 {
			digests = append(digests, doc.Digest)
		}
	}
	return digests
}

// sendDigests returns actions that send digests to the targets, as far as the
// digest rate allows.
func (c *Core) sendDigests(now time.Time, targets []prim.HostName, full bool, digests []prim.Digest) []Action {
	m := prim.Message{Kind: KindDigest, Body: encodeDigests(full, digests)}
	var actions []Action
	for _, p := range targets {
		if !c.digestBudget.ready(now) {
			break
		}
		c.digestBudget.charge(now, len(m.Body)+FrameOverhead)
		actions = append(actions, Action{Kind: Tell, To: p, Message: m})
	}
	return actions
}

// startFetches returns the fetch actions that are due.
func (c *Core) startFetches(now time.Time) []Action {
	var actions []Action
	for _, name := range prim.DocumentNames {
		doc := c.documents[name]
		o, at := doc.nextFetch(now)
		if o == nil || at.After(now) {
			continue
		}
		o.inFlight++
		doc.inFlight++
		doc.lastFetchAt = now
		if o.source == "" {
			c.uncompensatedBodyReads++
			actions = append(actions, Action{Kind: ReadDocument, Name: name, version: o.Version})
			continue
		}
		m := prim.Message{Kind: KindPull, Body: encode(pullMessage{Name: name, Have: doc.Version})}
		actions = append(actions, Action{Kind: Ask, To: o.source, Name: name, Message: m, version: o.Version})
	}
	return actions
}

// mergeDigests processes digests received from a source. It returns this node's
// digests of the documents that it holds in a newer version than the source.
func (c *Core) mergeDigests(now time.Time, source prim.HostName, digests []prim.Digest) (newer []prim.Digest) {
	for _, d := range digests {
		doc := c.documents[d.Name]
		if doc == nil {
			continue
		}
		d.Issued = discardFutureIssued(d.Issued, now)
		switch {
		case d.Version < doc.Version:
			newer = append(newer, doc.Digest)
		case d.Version == doc.Version && d.Hash != doc.Hash && doc.Version > 0:
			c.refuse(now, source, prim.Document{Digest: d},
				Error.New("version %d is in force with hash %d; publish a changed document under a higher version", doc.Version, doc.Hash))
		case doc.advanceIssued(d):
			c.issuedAdvanced = true
		case doc.wants(d):
			doc.addOffer(source, d)
		}
	}
	return newer
}

// discardFutureIssued returns issued, or the zero time if issued is more than
// maxIssuedAhead in the future.
func discardFutureIssued(issued, now time.Time) time.Time {
	if issued.After(now.Add(maxIssuedAhead)) {
		return time.Time{}
	}
	return issued
}

// HandleIndex handles the result of a ReadIndex.
func (c *Core) HandleIndex(now time.Time, digests []prim.Digest, err error) []Action {
	c.indexReadPending = false
	newer := c.mergeDigests(now, "", digests)
	if err == nil && len(newer) > 0 {
		err = Error.New("index is stale: it has %s at a version below %d; check the replica", newer[0].Name, newer[0].Version)
	}
	c.recordPlatformResult(now, err)
	actions := c.startFetches(now)
	c.nextIndexReadAt = now.Add(c.nextReadInterval(now))
	c.uncompensatedBodyReads = 0
	return actions
}

// platformLogInterval is the minimum time between two log lines about failed reads.
// While one of several replicas is down, every other read may fail.
const platformLogInterval = time.Minute

// recordPlatformResult records the result of a platform read for Status and logs
// failures at a limited rate.
func (c *Core) recordPlatformResult(now time.Time, err error) {
	if err == nil {
		c.platformError = ""
		return
	}
	if now.Sub(c.platformLoggedAt) >= platformLogInterval {
		c.platformLoggedAt = now
		c.config.Log.Warn("reading the configuration service failed; documents in force stay", "Error", err)
	}
	c.platformError, c.platformErrorAt = err.Error(), now
}

// HandleMessage handles an incoming message of kind Digest or Pull. The response is empty
// unless the message is a Pull.
func (c *Core) HandleMessage(now time.Time, from prim.HostName, m prim.Message) (prim.Message, []Action, error) {
	if m.Kind == KindPull {
		answer, err := c.servePull(now, m.Body)
		return answer, nil, err
	}
	full, digests, err := decodeDigests(m.Body)
	if err != nil {
		return prim.Message{}, nil, err
	}
	c.heardAt[from] = now
	newer := c.mergeDigests(now, from, digests)
	if full {
		for _, d := range c.heldDigests() {
			if !slices.ContainsFunc(digests, func(o prim.Digest) bool { return o.Name == d.Name }) {
				newer = append(newer, d)
			}
		}
	}
	actions := c.startFetches(now)
	if len(newer) > 0 {
		actions = append(actions, c.sendDigests(now, []prim.HostName{from}, false, newer)...)
	}
	return prim.Message{}, actions, nil
}

// servePull returns the requested document if this node holds a newer version than
// the requester and the byte budget allows it.
func (c *Core) servePull(now time.Time, body []byte) (prim.Message, error) {
	var pull pullMessage
	if err := decoder.Unmarshal(body, &pull); err != nil {
		return prim.Message{}, Error.New("pull is not valid CBOR: %v; check the sender's version", err)
	}
	doc := c.documents[pull.Name]
	if doc == nil || doc.Version <= pull.Have {
		return prim.Message{}, Error.New("no version of %q above %d on this node; pull it from another node", pull.Name, pull.Have)
	}
	if !doc.budget.ready(now) {
		return prim.Message{}, Error.New("byte budget for %q is exhausted; pull it from another node", pull.Name)
	}
	b := encode(documentMessage{Entry: newDigestEntry(doc.Digest), Body: doc.Body})
	doc.budget.charge(now, len(b)+FrameOverhead)
	return prim.Message{Kind: KindDocument, Body: b}, nil
}

// HandleResponse handles the result of an Ask.
func (c *Core) HandleResponse(now time.Time, a Action, m prim.Message, err error) []Action {
	var received documentMessage
	if err == nil {
		c.documents[a.Name].budget.charge(now, len(m.Body)+FrameOverhead)
		err = decoder.Unmarshal(m.Body, &received)
	}
	return c.fetchFinished(now, a, prim.Document{Digest: received.Entry.digest(), Body: received.Body}, err)
}

// HandleDocument handles the result of a ReadDocument.
func (c *Core) HandleDocument(now time.Time, a Action, d prim.Document, err error) []Action {
	c.documents[a.Name].budget.charge(now, len(d.Body))
	if err != nil {
		c.recordPlatformResult(now, err)
	}
	return c.fetchFinished(now, a, d, err)
}

// fetchFinished handles the end of an attempt to fetch a document from a peer or the
// platform.
func (c *Core) fetchFinished(now time.Time, a Action, d prim.Document, err error) []Action {
	doc := c.documents[a.Name]
	if err == nil && (d.Name != a.Name || len(d.Body) > prim.MaxDocumentBytes || xxh3.Hash(d.Body) != d.Hash) {
		// Corruption in transit says nothing about the version, so the version is not
		// refused.
		err = Error.New("document %q from %s does not match its digest", a.Name, sourceName(a.To))
	}
	var actions []Action
	if err == nil {
		d.Issued = discardFutureIssued(d.Issued, now)
		actions = c.accept(now, a.To, d)
	}
	doc.attemptEnded(now, a.To, a.version)
	doc.prune()
	return append(actions, c.startFetches(now)...)
}

// accept puts a newer document in force if Parse accepts it, and announces it to
// some peers.
func (c *Core) accept(now time.Time, source prim.HostName, d prim.Document) []Action {
	doc := c.documents[d.Name]
	if !doc.wants(d.Digest) {
		c.issuedAdvanced = doc.advanceIssued(d.Digest) || c.issuedAdvanced
		return nil
	}
	view, err := c.parse(d)
	if err != nil {
		c.refuse(now, source, d, err)
		return nil
	}
	// Another source may have reported a later Issued for this version.
	for _, o := range doc.offers {
		if o.Version == d.Version && o.Hash == d.Hash && o.Issued.After(d.Issued) {
			d.Issued = o.Issued
		}
	}
	doc.Document, doc.source, doc.acceptedAt = d, source, now
	doc.prune()
	c.publishView(view)
	if d.Name == prim.NameHosts {
		c.peers, c.hostCount = derivePeers(c.view, c.config.Self, c.config.DataCentre)
	}
	actions := c.sendDigests(now, c.peers.sample(c.config.Fanout, c.config.Rand), false, []prim.Digest{doc.Digest})
	return append(actions, c.recheckRefused(now)...)
}

// recheckRefused validates the refused documents again, since the result may depend
// on the document that was just accepted.
func (c *Core) recheckRefused(now time.Time) []Action {
	for _, name := range prim.DocumentNames {
		doc := c.documents[name]
		for i, r := range doc.refusals {
			if r.document.Body == nil || r.document.Version <= doc.Version {
				continue
			}
			if _, err := c.parse(r.document); err == nil {
				doc.refusals = slices.Delete(doc.refusals, i, i+1)
				return c.accept(now, r.source, r.document)
			}
		}
	}
	return nil
}

// parse calls Config.Parse and turns a panic into an error. Every node parses the
// same document, so a panic would otherwise crash the whole fleet at once.
func (c *Core) parse(d prim.Document) (view *prim.View, err error) {
	defer func() {
		if panicValue := recover(); panicValue != nil {
			view, err = nil, Error.New("parsing %q panicked: %v; report this bug", d.Name, panicValue)
		}
	}()
	view, err = c.config.Parse(d, c.view)
	if err == nil && view == nil {
		err = Error.New("parsing %q returned no view; report this bug", d.Name)
	}
	return view, err
}

// refuse records a refused document for Status, logs it unless it was the last one
// refused, and makes sure that it is not fetched again.
func (c *Core) refuse(now time.Time, source prim.HostName, d prim.Document, err error) {
	doc := c.documents[d.Name]
	r := Refused{Version: d.Version, Hash: d.Hash, Source: sourceName(source), Error: err.Error(), At: now}
	if last := doc.lastRefused; last == nil || last.Version != r.Version || last.Hash != r.Hash {
		doc.lastRefused = &r
		c.config.Log.Error("document refused; the one in force stays",
			"Document", d.Name, "Version", d.Version, "InForce", doc.Version, "Source", r.Source, "Error", err)
	}
	if doc.wants(d.Digest) {
		doc.addRefusal(refusal{document: d, source: source})
	}
}

// publishView sets the view to a copy of v with the current digests. The copy shares
// the lookup indexes of v, so a change of Issued alone does not rebuild them.
func (c *Core) publishView(v *prim.View) {
	published := *v
	published.Digests = make(map[string]prim.Digest, len(c.documents))
	for _, d := range c.heldDigests() {
		published.Digests[d.Name] = d
	}
	c.view, c.issuedAdvanced = &published, false
}

func sourceName(h prim.HostName) string {
	if h == "" {
		return "platform"
	}
	return fmt.Sprintf("host %q", string(h))
}
