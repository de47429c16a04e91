package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// This file reads what the servers ran: from their ledgers, which end with the
// process, and from their journals, which do not.

// Ledger is the sum of the servers' ledgers.
type Ledger struct {
	Runs, Overflow int64
	// Requests and Keys count the runs by request id and by idempotency key.
	Requests, Keys map[string]int
}

// Ledger reads and adds up the ledgers of all servers.
func (f *Fleet) Ledger(ctx context.Context) (Ledger, error) {
	sum := Ledger{Requests: make(map[string]int), Keys: make(map[string]int)}
	for _, h := range f.Hosts {
		b, err := Get(ctx, "http://"+h.Control.String()+"/ledger")
		if err != nil {
			return sum, err
		}
		var one Ledger
		if err := json.Unmarshal(b, &one); err != nil {
			return sum, fmt.Errorf("ledger of %s: %w", h.Place.Host, err)
		}
		sum.Runs += one.Runs
		sum.Overflow += one.Overflow
		for k, n := range one.Requests {
			sum.Requests[k] += n
		}
		for k, n := range one.Keys {
			sum.Keys[k] += n
		}
	}
	if sum.Overflow > 0 {
		return sum, errors.New("a ledger overflowed; send fewer requests")
	}
	return sum, nil
}

// Entry is one line of a server's journal. It is written before the work
// begins, so a run that is killed at once is in it as well.
type Entry struct {
	At           time.Time // on the wall clock of this machine
	Request, Key string
	// Ran is false for a request that arrived; a second line follows if it runs.
	Ran bool
}

// Journal returns what arrived at the servers of a host, over all their starts.
func (f *Fleet) Journal(h *Host) ([]Entry, error) {
	b, err := os.ReadFile(f.journal(h))
	if err != nil {
		return nil, err
	}
	var entries []Entry
	for line := range strings.Lines(string(b)) {
		var e Entry
		// A server that is killed may leave a part of its last line only if the
		// machine fails; any other malformed line is a fault of the journal.
		if err := json.Unmarshal([]byte(line), &e); err != nil {
			return nil, fmt.Errorf("journal of %s: %w", h.Place.Host, err)
		}
		entries = append(entries, e)
	}
	return entries, nil
}

func (f *Fleet) journal(h *Host) string {
	return filepath.Join(f.c.Folder, "journal-"+string(h.Place.Host))
}
