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

// This file starts a fleet and waits until its customers get answers.

// ledger is the sum of the servers' ledgers.
type ledger = fleet.Ledger

// running is a deployment as processes on this machine.
type running struct {
	*fleet.Fleet
	deployment deployment
	customers  []customer
	client     *http.Client
}

// start starts a fleet. It leaves no process behind when it fails.
func start(ctx context.Context, bin, folder string, f deployment) (*running, error) {
	d := &running{deployment: f, customers: slices.Clone(customers),
		client: &http.Client{Timeout: 15 * time.Second,
			Transport: &http.Transport{MaxIdleConnsPerHost: 64, MaxConnsPerHost: 256}}}
	for i := range d.customers {
		d.customers[i].token = rand.Text()
	}
	c := f.config(d.customers)
	c.Bin, c.Folder = bin, folder
	ctx, cancel := context.WithTimeout(ctx, readyIn)
	defer cancel()
	var err error
	d.Fleet, err = fleet.Start(ctx, c)
	return d, err
}

// readyIn bounds the time until the processes are ready, and once more the time
// until the customers get answers.
const readyIn = 25 * time.Second

// ready waits until each customer that stays within its plan gets answers: a
// node that has just started grants nothing during its first lease term.
func (d *running) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyIn)
	defer cancel()
	for _, h := range d.Hosts {
		for _, c := range d.customers {
			for _, s := range d.deployment.services {
				if c.over() {
					continue
				}
				err := d.until(ctx, func() (*http.Request, error) {
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

// until sends a request again and again until its answer has status 200.
func (d *running) until(ctx context.Context, build func() (*http.Request, error)) error {
	last := "no answer"
	for {
		r, err := build()
		if err != nil {
			return err
		}
		a, err := d.client.Do(r)
		if err == nil {
			body, _ := io.ReadAll(io.LimitReader(a.Body, 300))
			a.Body.Close()
			if a.StatusCode == http.StatusOK {
				return nil
			}
			last = fmt.Sprintf("%s %s", a.Status, strings.TrimSpace(string(body)))
		} else if ctx.Err() == nil {
			last = err.Error()
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: %w; last: %s", r.URL, context.Cause(ctx), last)
		case <-time.After(50 * time.Millisecond):
		}
	}
}
