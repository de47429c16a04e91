package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/primrosethread/primrosethread/waits"
)

const (
	// Numbers of the random sources of the clients that keep their connections, and of the
	// changes of the limits.
	keptSource  = 50000
	limitSource = 60000
	// keptPerHost clients of each host keep their connection: with seed 4, one in 16 of all
	// requests of a run of 8 s.
	keptPerHost = 2

	usualIdleTimeout = 15 * time.Second
	minIdleTimeout   = 300 * time.Millisecond
	maxIdleTimeout   = 90 * time.Second
	// limitsBound is how long after a change the old limits may be in force.
	limitsBound = routesBound + time.Second
	// maxKeptPause also bounds the pauses, so that a client sends enough requests in a short run.
	maxKeptPause = 800 * time.Millisecond
	// maxSegmentPause is far below minIdleTimeout, after which a pause in a body ends its request.
	maxSegmentPause = 60 * time.Millisecond
	// readBound is the time after its last byte from which on a request counts as read. A
	// node that closes a connection discards what arrives for 100 ms.
	readBound = 200 * time.Millisecond
	// keptTimeout is how long an answer is awaited. A node answers by requestTimeout, but a machine
	// with a load of 40 on 8 processors let processes wait for up to 4 s.
	keptTimeout = 10 * time.Second
	// stallBound is by how much a pause of this process lasts too long if the machine is stalled.
	stallBound = 100 * time.Millisecond
)

// end is how a request on a kept connection ended.
type end int

const (
	whole   end = iota // with an answer
	refused            // with an answer that says that it did not run
	unsent             // its connection ended before its last byte was sent
	closed             // before the first byte of the answer
	brokenOff
	reset
	timedOut
)

var ends = [...]string{"whole", "refused", "not sent", "closed", "broken off", "reset", "timed out"}

// keptEnd is what the client of a kept connection saw of the end of its request.
type keptEnd struct {
	how    end
	client net.Addr
	answer int           // bytes that the answer should have at least
	after  time.Duration // from the last byte of the request to the end
	alive  bool          // the node was neither killed nor frozen
	prompt bool          // the connection was neither idle for too long nor that of a node being stopped
	slow   bool          // a pause in the request may have reached the idle timeout
	from   time.Time     // when the connection was dialed, or the request before this one was sent
}

// interval is a time in which this process got no processor.
type interval struct{ begin, end time.Time }

// watchStalls records when this process pauses for longer than it means to. Its clients then see
// ends late, and nodes time requests out.
func (d *deployment) watchStalls(ctx context.Context) {
	const pause = 10 * time.Millisecond
	for ctx.Err() == nil {
		begin := time.Now()
		waits.Sleep(ctx, pause)
		if end := time.Now(); end.Sub(begin) > pause+stallBound {
			d.stalls = append(d.stalls, interval{begin, end})
		}
	}
}

// stalled reports whether the machine was stalled between two times. It is called after watchStalls
// has ended.
func (d *deployment) stalled(from, until time.Time) bool {
	return slices.ContainsFunc(d.stalls, func(i interval) bool { return i.begin.Before(until) && i.end.After(from) })
}

// idleChange is a publication of the idle timeout of clients.
type idleChange struct {
	at      time.Time
	timeout time.Duration
}

// publishIdleTimeout publishes a version with another idle timeout.
func (d *deployment) publishIdleTimeout(t time.Duration) {
	d.mu.Lock()
	d.idleTimeout = t
	service := d.routes["/safe/"]
	d.mu.Unlock()
	d.publishRoutes(service)
}

// injectLimits changes the idle timeout in series until the context ends. The last change is to
// usualIdleTimeout, since the other clients make longer pauses than minIdleTimeout.
func (d *deployment) injectLimits(ctx context.Context) {
	r := rand.New(rand.NewPCG(d.c.seed, limitSource))
	for ctx.Err() == nil {
		waits.Sleep(ctx, time.Duration(r.IntN(1500))*time.Millisecond)
		maxGap := []int{300, 1000}[r.IntN(2)]
		for i := range 2 + r.IntN(4) {
			if i > 0 && d.hasExtraRoutes() {
				break // the delayed links take longer for a series of large versions than the checks allow
			}
			// All orders of magnitude are equally likely.
			factor := math.Pow(float64(maxIdleTimeout)/float64(minIdleTimeout), r.Float64())
			d.publishIdleTimeout(time.Duration(float64(minIdleTimeout) * factor))
			waits.Sleep(ctx, time.Duration(r.IntN(maxGap))*time.Millisecond)
		}
	}
	d.publishIdleTimeout(usualIdleTimeout)
}

func (d *deployment) hasExtraRoutes() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.extraRoutes > 0
}

// minIdleInForce returns the smallest idle timeout that may be in force.
func (d *deployment) minIdleInForce(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	smallest := maxIdleTimeout
	for _, change := range slices.Backward(d.idleChanges) {
		smallest = min(smallest, change.timeout)
		if change.at.Before(now.Add(-limitsBound)) {
			break
		}
	}
	return smallest
}

// runKeepingClient sends requests to the node of a host, one after the other, on a connection that
// it uses until that ends, until the context ends.
func (d *deployment) runKeepingClient(ctx context.Context, h *host, r *rand.Rand, results *resultList) {
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", h.ip, portCallers), time.Second)
		if err == nil {
			reader := bufio.NewReader(conn)
			from := time.Now()
			for open := true; open && ctx.Err() == nil; {
				pause := min(maxKeptPause, d.minIdleInForce(time.Now())*4/5)
				waits.Sleep(ctx, time.Duration(r.Int64N(int64(pause))))
				var res requestResult
				res, open = d.sendKept(conn, reader, h, r)
				res.kept.from = from
				res.kept.prompt = res.sent.Sub(from) < minIdleTimeout*4/5 && h.stoppingUntil.Load() < from.UnixNano()
				results.add(res)
				from = res.sent
			}
			conn.Close()
		}
		waits.Sleep(ctx, minPipelinePause)
	}
}

// drawLength returns a length: half are short, and one in 16 exceeds the size of a part in which
// answers are written.
func drawLength(r *rand.Rand) int {
	switch n := r.IntN(16); {
	case n == 0:
		return 64<<10 + r.IntN(128<<10)
	case n < 8:
		return r.IntN(100)
	}
	return r.IntN(20 << 10)
}

// drawKeptRequest returns a request for a path, whose answer has at least length bytes.
func drawKeptRequest(id, path string, length int, r *rand.Rand) []byte {
	query, method, rest := "", http.MethodGet, "\r\n"
	if r.IntN(8) == 0 {
		query = fmt.Sprintf("&work=%dms", r.IntN(500))
	}
	if path == "/unsafe/" {
		body := strings.Repeat("b", drawLength(r))
		method, rest = http.MethodPost, fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
		if r.IntN(2) == 0 && body != "" {
			rest = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		}
	}
	return fmt.Appendf(nil, "%s %sx?length=%d%s HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n%s",
		method, path, length, query, id, requestTimeout.Milliseconds(), rest)
}

// sendKept sends a request in up to three segments and awaits its answer. It reports whether the
// connection can be used further.
func (d *deployment) sendKept(conn net.Conn, reader *bufio.Reader, h *host, r *rand.Rand) (res requestResult, open bool) {
	path := []string{"/safe/", "/unsafe/", "/other/"}[r.IntN(3)]
	res = requestResult{id: fmt.Sprintf("q-%d", lastRequestID.Add(1)), path: path, host: h, sent: time.Now()}
	length := drawLength(r)
	request := drawKeptRequest(res.id, path, length, r)
	kept := &keptEnd{how: unsent, client: conn.LocalAddr(), answer: length}
	res.kept = kept
	res.err = writeInSegments(conn, request, r)
	lastByte := time.Now()
	kept.slow = lastByte.Sub(res.sent) > minIdleTimeout*4/5
	if res.err == nil {
		_, res.err = reader.Peek(1)
		kept.how = endOf(res.err, closed)
	}
	if res.err == nil {
		open = d.receive(reader, &res) == nil
		switch {
		case res.err != nil:
			kept.how = endOf(res.err, brokenOff)
		case res.status == http.StatusOK && len(res.body) < length:
			kept.how, res.err, open = brokenOff, io.ErrUnexpectedEOF, false
		case res.status == http.StatusServiceUnavailable || res.status == http.StatusTooManyRequests:
			kept.how = refused
		}
		res.body = strings.Clone(res.body[:min(len(res.body), 100)])
	}
	kept.after, res.took, kept.alive = time.Since(lastByte), time.Since(res.sent), h.aliveSince(res.sent)
	d.observe(&res)
	return res, open
}

// writeInSegments writes a request in up to three segments with pauses between them. The cuts are
// in the header, before the body and in the body.
func writeInSegments(conn net.Conn, request []byte, r *rand.Rand) error {
	header := bytes.Index(request, []byte("\r\n\r\n")) + 4
	cuts := []int{0, len(request)}
	for range r.IntN(3) {
		cuts = append(cuts, []int{r.IntN(header), header, header + r.IntN(len(request)-header+1)}[r.IntN(3)])
	}
	slices.Sort(cuts)
	for i, cut := range cuts[1:] {
		conn.SetDeadline(time.Now().Add(keptTimeout))
		if _, err := conn.Write(request[cuts[i]:cut]); err != nil {
			return err
		}
		if cut < len(request) {
			time.Sleep(time.Duration(r.Int64N(int64(maxSegmentPause))))
		}
	}
	return nil
}

// endOf returns how a request ended whose answer could not be read: with the end that is given if
// the connection was closed.
func endOf(err error, atClose end) end {
	switch {
	case err == nil:
		return whole
	case errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded):
		return timedOut
	case errors.Is(err, syscall.ECONNRESET):
		return reset
	}
	return atClose
}

// checkKept checks that requests on kept connections that ran or were read ended with a whole answer,
// unless their node was killed or frozen. A planned stop and faults elsewhere are no excuse. A
// connection that no idle timeout and no stop can have closed must not end at all. What only the
// time tells is not checked while the machine is stalled. It returns the number of requests by
// their end.
func (d *deployment) checkKept(list []requestResult) (report string) {
	ran := make(map[string]bool)
	for _, h := range d.hosts {
		for _, run := range h.app.Runs() {
			ran[run.ID] = true
		}
	}
	var total, running [len(ends)]int
	for _, res := range list {
		k := res.kept
		if k == nil {
			continue
		}
		total[k.how]++
		if ran[res.id] {
			running[k.how]++
		}
		lost := k.how > unsent && ran[res.id]
		late := k.how > unsent && k.after > readBound
		endedEarly := k.how >= unsent && k.prompt
		if k.alive && (lost || (late || endedEarly) && !d.stalled(k.from, res.sent.Add(res.took))) {
			d.fail("request %s for %s with an answer of %d bytes from %v at host %s, sent at %s, %s %v after its last byte, ran: %v, prompt: %v, undisturbed: %v: %v", res.id, res.path,
				k.answer, k.client, res.host.name, res.sent.Format("05.000"), ends[k.how], k.after, ran[res.id], k.prompt, res.undisturbed, res.err)
		}
	}
	for e, name := range ends {
		report += fmt.Sprintf(", %d %s (%d ran)", total[e], name, running[e])
	}
	return report[len(", "):]
}
