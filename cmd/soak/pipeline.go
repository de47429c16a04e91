package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/primrosethread/primrosethread/waits"
)

const (
	// maxPipelined is above the 8 requests that a node reads ahead on a connection.
	maxPipelined = 10
	// pipelineSource numbers the random sources of the pipelining clients. The other
	// clients and the faults of a seed draw the same with and without these clients.
	pipelineSource = 10000
	// Pauses between the batches of a client. With seed 4, a quarter of all requests of a run of
	// 8 s are pipelined.
	minPipelinePause = 100 * time.Millisecond
	maxPipelinePause = 400 * time.Millisecond
)

var (
	errCut         = errors.New("cut by the client")
	errBehindClose = errors.New("behind a response that closes the connection")
)

// unanswered reports whether the client can't expect a response: it cut the connection, or
// an earlier response closed it.
func (r requestResult) unanswered() bool {
	return errors.Is(r.err, errCut) || errors.Is(r.err, errBehindClose)
}

// runPipeliningClient sends batches of pipelined requests to the node of a host until the
// context ends.
func (d *deployment) runPipeliningClient(ctx context.Context, h *host, r *rand.Rand, results *resultList) {
	for ctx.Err() == nil {
		d.sendBatches(ctx, h, r, results)
	}
}

// sendBatches sends batches on one connection until that ends.
func (d *deployment) sendBatches(ctx context.Context, h *host, r *rand.Rand, results *resultList) {
	waits.Sleep(ctx, minPipelinePause)
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", h.ip, portCallers), time.Second)
	if err != nil {
		return // the other clients report a node that can't be reached
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for ctx.Err() == nil {
		batch := make([]requestResult, 2+r.IntN(maxPipelined-1))
		err := d.sendBatch(conn, reader, h, r, batch)
		for _, res := range batch {
			results.add(res)
		}
		if err != nil {
			return
		}
		waits.Sleep(ctx, minPipelinePause+time.Duration(r.Int64N(int64(maxPipelinePause-minPipelinePause))))
	}
}

// sendBatch sends requests without waiting for responses and fills in their results. One
// batch in four has a request that is not idempotent. One in eight is cut: after a part of
// its bytes has been sent, or after some of its responses. The error says why the
// connection can't be used further.
func (d *deployment) sendBatch(conn net.Conn, reader *bufio.Reader, h *host, r *rand.Rand, batch []requestResult) error {
	var b bytes.Buffer
	unsafe := -1
	if r.IntN(4) == 0 {
		unsafe = r.IntN(len(batch))
	}
	sent := time.Now()
	for i := range batch {
		res := requestResult{id: fmt.Sprintf("q-%d", lastRequestID.Add(1)), path: []string{"/safe/", "/other/"}[r.IntN(2)], host: h, sent: sent}
		method, rest := http.MethodGet, "\r\n"
		if i == unsafe {
			method, res.path, rest = http.MethodPost, "/unsafe/", "Content-Length: 4\r\n\r\nbody"
		}
		fmt.Fprintf(&b, "%s %sx HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n%s",
			method, res.path, res.id, requestTimeout.Milliseconds(), rest)
		batch[i] = res
	}
	bytesSent, answers := b.Len(), len(batch)
	if r.IntN(8) == 0 {
		if r.IntN(2) == 0 {
			bytesSent, answers = r.IntN(b.Len()), 0
		} else {
			answers = r.IntN(len(batch))
		}
	}
	conn.SetDeadline(sent.Add(requestTimeout))
	_, err := conn.Write(b.Bytes()[:bytesSent])
	for i := range batch {
		res := &batch[i]
		if err == nil && i == answers {
			err = errCut
		}
		if err == nil {
			err = d.receive(reader, res)
		} else {
			res.err = err
		}
		res.took = time.Since(sent)
		d.observe(res)
	}
	return err
}

// receive reads the response to a request. It returns the error that the requests behind it
// have.
func (d *deployment) receive(reader *bufio.Reader, res *requestResult) error {
	resp, err := http.ReadResponse(reader, nil)
	if err == nil {
		var b []byte
		b, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		res.status, res.body = resp.StatusCode, string(b)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = context.DeadlineExceeded
	}
	res.err = err
	if err != nil {
		return err
	}
	d.checkID(*res, resp.Header)
	if resp.Close {
		return errBehindClose
	}
	return nil
}

// checkID checks that a response belongs to its request.
func (d *deployment) checkID(res requestResult, header http.Header) {
	if res.status == http.StatusOK && header.Get("X-Response-Seal") != "seal-"+res.id {
		d.fail("request %s got a response with the seal %q", res.id, header.Get("X-Response-Seal"))
	}
	if id := header.Get("X-Attempt-Id"); id != "" && id != res.id {
		d.fail("request %s got a response with status %d to the request %q", res.id, res.status, id)
	}
}
