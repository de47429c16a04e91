package server

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// The server's own load report is one weak input: it lags and may mislead, so
// its numbers are not used. It tells of a restart that no connection has shown
// yet, and of a drain that the host list does not know.

// Report is the part of the server's load report that is used.
type Report struct {
	// Start identifies one start of the server.
	Start    string
	UptimeMs int64
	Draining bool
}

// WatchConfig configures Watch.
type WatchConfig struct {
	// URL is where the server reports its load.
	URL string
	// Every is the time between two reads.
	Every time.Duration
	// Restarted is called when Start changed or the uptime went back.
	Restarted func()
	// Draining is called with every report.
	Draining func(bool)
}

const maxReport = 4 << 10

// Watch reads the server's load reports until the context ends, and then sends
// on the channel.
func Watch(ctx context.Context, c WatchConfig) <-chan error {
	ended := make(chan error, 1)
	go func() {
		client := &http.Client{Timeout: c.Every, Transport: &http.Transport{MaxIdleConns: 1}}
		defer client.CloseIdleConnections()
		tick := time.NewTicker(c.Every)
		defer tick.Stop()
		var last Report
		for {
			select {
			case <-ctx.Done():
				ended <- ctx.Err()
				return
			case <-tick.C:
			}
			r, err := read(ctx, client, c.URL)
			if err != nil {
				continue
			}
			if last.Start != "" && (r.Start != last.Start || r.UptimeMs < last.UptimeMs) {
				c.Restarted()
			}
			last = r
			c.Draining(r.Draining)
		}
	}()
	return ended
}

func read(ctx context.Context, client *http.Client, url string) (Report, error) {
	var r Report
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return r, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return r, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return r, fmt.Errorf("load report: status %d", resp.StatusCode)
	}
	return r, json.NewDecoder(io.LimitReader(resp.Body, maxReport)).Decode(&r)
}
