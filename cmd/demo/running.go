package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/primrosethread/primrosethread/fleet"
)

// This file starts a fleet and waits until its customers receive responses from the
// servers.

// ledger is the sum of the servers' ledgers.
type ledger = fleet.Ledger

// runningFleet is a deployment that runs as processes on this machine.
type runningFleet struct {
	*fleet.Fleet
	deployment deployment
	customers  []customer
	client     *http.Client
}

// startFleet starts a fleet. If it fails, no process keeps running.
func startFleet(ctx context.Context, bin, folder string, f deployment) (*runningFleet, error) {
	d := &runningFleet{deployment: f, customers: slices.Clone(demoCustomers),
		client: &http.Client{Timeout: 15 * time.Second,
			Transport: &http.Transport{MaxIdleConnsPerHost: 64, MaxConnsPerHost: 256}}}
	for i := range d.customers {
		d.customers[i].token = rand.Text()
	}
	c := f.config(d.customers)
	c.Bin, c.Folder = bin, folder
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	var err error
	d.Fleet, err = fleet.Start(ctx, c)
	return d, err
}

// readyTimeout limits the time until the processes are ready, and separately the
// time until the customers receive responses.
const readyTimeout = 25 * time.Second

// waitReady waits until requests of each customer that stays within its plan
// succeed at each node. A node grants nothing during its first lease term after a
// start.
func (d *runningFleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, h := range d.Hosts {
		for _, c := range d.customers {
			for _, s := range d.deployment.services {
				if c.exceedsPlan() {
					continue
				}
				err := d.waitForOK(ctx, func() (*http.Request, error) {
					r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/%s/ready", h.Listen, s.name), nil)
					if err == nil {
						r.Header.Set("Authorization", "Bearer "+c.token)
					}
					return r, err
				})
				if err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// waitForOK repeats a request every 50 ms until the response has status 200.
func (d *runningFleet) waitForOK(ctx context.Context, newRequest func() (*http.Request, error)) error {
	last := "no response"
	for {
		req, err := newRequest()
		if err != nil {
			return err
		}
		resp, err := d.client.Do(req)
		if err == nil {
			body, _ := io.ReadAll(io.LimitReader(resp.Body, 300))
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
			last = fmt.Sprintf("%s %s", resp.Status, strings.TrimSpace(string(body)))
		} else if ctx.Err() == nil {
			last = err.Error()
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: %w; last response or error: %s", req.URL, context.Cause(ctx), last)
		case <-time.After(50 * time.Millisecond):
		}
	}
}
