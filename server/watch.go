package server

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// The load figures in the server's report are not used, since they lag and may be
// misleading. The report serves to detect a restart that no connection has shown yet, and
// a drain that is not in the host list.

// Report holds the fields of the server's load report that are used.
type Report struct {
	// Start identifies one run of the server process; it changes with every restart.
	Start    string
	UptimeMs int64 // milliseconds
	Draining bool
}

// WatchConfig configures Watch.
type WatchConfig struct {
	// URL is the address of the server's load report.
	URL string
	// PollInterval is the polling interval and the timeout of one read.
	PollInterval time.Duration
	// OnRestart is called if Start has changed or the uptime has decreased.
	OnRestart func()
	// OnDraining is called after every successful read with Report.Draining.
	OnDraining func(bool)
}

const maxReportBytes = 4 << 10

// Watch polls the server's load report in a goroutine of its own until the context ends,
// and then sends the context's error on the channel. Failed reads are skipped.
func Watch(ctx context.Context, c WatchConfig) <-chan error {
	done := make(chan error, 1)
	go func() {
		client := &http.Client{Timeout: c.PollInterval, Transport: &http.Transport{MaxIdleConns: 1, MaxResponseHeaderBytes: prim.MaxHeaderBytes}}
		defer client.CloseIdleConnections()
		ticker := time.NewTicker(c.PollInterval)
		defer ticker.Stop()
		var previous Report
		for {
			select {
			case <-ctx.Done():
				done <- ctx.Err()
				return
			case <-ticker.C:
			}
			report, err := readReport(ctx, client, c.URL)
			if err != nil {
				continue
			}
			if previous.Start != "" && (report.Start != previous.Start || report.UptimeMs < previous.UptimeMs) {
				c.OnRestart()
			}
			previous = report
			c.OnDraining(report.Draining)
		}
	}()
	return done
}

func readReport(ctx context.Context, client *http.Client, url string) (Report, error) {
	var report Report
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return report, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return report, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return report, fmt.Errorf("load report: status %d", resp.StatusCode)
	}
	return report, json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&report)
}
