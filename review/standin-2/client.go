package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// clients sends requests from a machine at a steady rate, each once, over kept connections.
type clients struct {
	machine   *machine
	method    string
	path      string
	perSecond float64
	deadline  time.Duration
	bodyBytes int
}

var lastID atomic.Int64

// run sends until the context ends, and waits for the answers.
func (c *clients) run(ctx context.Context) {
	client := &http.Client{
		Transport:     &http.Transport{MaxIdleConnsPerHost: 200, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	var pending sync.WaitGroup
	begin := time.Now()
	for n := 0; ; n++ {
		at := begin.Add(time.Duration(float64(n) / c.perSecond * float64(time.Second)))
		select {
		case <-ctx.Done():
			pending.Wait()
			client.CloseIdleConnections()
			return
		case <-time.After(time.Until(at)):
		}
		pending.Go(func() { c.send(client) })
	}
}

func (c *clients) send(client *http.Client) {
	rec := c.machine.deployment.record
	q := &request{id: fmt.Sprintf("a%06d", lastID.Add(1)), machine: c.machine.name, method: c.method, path: c.path, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	var body io.Reader
	if c.bodyBytes > 0 {
		body = io.NopCloser(strings.NewReader(strings.Repeat("b", c.bodyBytes))) // can't be sent again by net/http
	}
	r, err := http.NewRequestWithContext(ctx, c.method, "http://"+c.machine.callersAddress()+c.path, body)
	if err != nil {
		panic(err)
	}
	r.ContentLength = int64(c.bodyBytes)
	r.Host = authority
	r.Header.Set("X-Attempt-Id", q.id)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(c.deadline.Milliseconds()))
	rec.sent(q)
	resp, err := client.Do(r)
	if err != nil {
		rec.answered(q, 0, "", err.Error())
		return
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		rec.answered(q, 0, "", err.Error())
		return
	}
	rec.answered(q, resp.StatusCode, resp.Header.Get("X-Response-Seal"), "")
}

// load runs several clients in the background until stop is called.
type load struct {
	cancel context.CancelFunc
	ended  sync.WaitGroup
}

func startLoad(all ...*clients) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{cancel: cancel}
	for _, c := range all {
		l.ended.Go(func() { c.run(ctx) })
	}
	return l
}

func (l *load) stop() {
	l.cancel()
	l.ended.Wait()
}
