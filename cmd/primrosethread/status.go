package main

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/primrosethread/primrosethread/config"
)

// maxStatusBytes limits the size of a response of /status.
const maxStatusBytes = 16 << 20

// runStatus runs the status command.
func runStatus(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("primrosethread status", flag.ContinueOnError)
	flags.SetOutput(stderr)
	admin := flags.String("admin", "127.0.0.1:7071", "address and port of the node's admin interface")
	raw := flags.Bool("json", false, "print the JSON response unchanged")
	timeout := flags.Duration("timeout", 5*time.Second, "maximum time to wait for the response")
	if err := config.SetFromEnv(flags, os.LookupEnv); err != nil {
		fmt.Fprintln(stderr, "primrosethread status:", err)
		return exitUsage
	}
	if flags.Parse(args) != nil {
		return exitUsage
	}
	address, err := netip.ParseAddrPort(*admin)
	if err != nil || flags.NArg() > 0 || *timeout <= 0 {
		fmt.Fprintln(stderr, "primrosethread status: give -admin with an IP address and port, -timeout with a positive duration, and no further arguments")
		return exitUsage
	}
	ctx, cancel := context.WithTimeout(ctx, *timeout)
	defer cancel()
	body, err := readStatus(ctx, address)
	if err == nil {
		if *raw {
			_, err = fmt.Fprintf(stdout, "%s\n", bytes.TrimSpace(body))
		} else {
			err = printJSON(stdout, body)
		}
	}
	if err != nil {
		fmt.Fprintln(stderr, "primrosethread status:", err)
		return exitFailed
	}
	return exitOK
}

// readStatus requests /status of the node whose admin interface is at admin.
func readStatus(ctx context.Context, admin netip.AddrPort) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin.String()+"/status", nil)
	if err != nil {
		return nil, err
	}
	// A transport without Proxy ignores proxies that the environment names.
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport}).Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w; check that the node runs and that -admin is its admin-listen address", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("the response has status %s; check that -admin is the admin-listen address of a node", resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxStatusBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxStatusBytes {
		return nil, errors.New("the response is larger than 16 MiB; check that -admin is the admin-listen address of a node")
	}
	return body, nil
}
