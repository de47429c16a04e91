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

// maxStatus bounds the answer of a node that status reads.
const maxStatus = 16 << 20

// status is the status command.
func status(ctx context.Context, args []string, out, errs io.Writer) int {
	fs := flag.NewFlagSet("primrosethread status", flag.ContinueOnError)
	fs.SetOutput(errs)
	admin := fs.String("admin", "127.0.0.1:7071", "address and port of the node's admin interface")
	raw := fs.Bool("json", false, "print the answer as it is")
	timeout := fs.Duration("timeout", 5*time.Second, "longest wait for the answer")
	if err := config.FromEnv(fs, os.LookupEnv); err != nil {
		fmt.Fprintln(errs, "primrosethread status:", err)
		return exitUsage
	}
	if fs.Parse(args) != nil {
		return exitUsage
	}
	address, err := netip.ParseAddrPort(*admin)
	if err != nil || fs.NArg() > 0 || *timeout <= 0 {
		fmt.Fprintln(errs, "primrosethread status: give -admin with an IP address and port, -timeout with a positive time, and no further arguments")
		return exitUsage
	}
	ctx, cancel := context.WithTimeout(ctx, *timeout)
	defer cancel()
	body, err := readStatus(ctx, address)
	if err == nil {
		if *raw {
			_, err = fmt.Fprintf(out, "%s\n", bytes.TrimSpace(body))
		} else {
			err = printJSON(out, body)
		}
	}
	if err != nil {
		fmt.Fprintln(errs, "primrosethread status:", err)
		return exitFailed
	}
	return exitOK
}

// readStatus asks a node for its state.
func readStatus(ctx context.Context, admin netip.AddrPort) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin.String()+"/status", nil)
	if err != nil {
		return nil, err
	}
	// No proxy from the environment: the node is asked directly.
	t := &http.Transport{}
	defer t.CloseIdleConnections()
	a, err := (&http.Client{Transport: t}).Do(r)
	if err != nil {
		return nil, fmt.Errorf("%w; check that the node runs and that -admin is its admin-listen address", err)
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("the answer has status %s; check that -admin is the admin-listen address of a node", a.Status)
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, maxStatus+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxStatus {
		return nil, errors.New("the answer is longer than 16 MiB; check that -admin is the admin-listen address of a node")
	}
	return body, nil
}
