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

// This file reads which requests the servers ran: from their ledgers, which are
// in memory and lost with the process, and from their journals, which are files.

// Ledger is the sum of the run counts of all servers.
type Ledger struct {
	Runs, Overflow int64
	// Requests and Keys count the runs by request id and by idempotency key.
	Requests, Keys map[string]int
}

// Ledger fetches the ledgers of all servers and returns their sum.
func (f *Fleet) Ledger(ctx context.Context) (Ledger, error) {
	sum := Ledger{Requests: make(map[string]int), Keys: make(map[string]int)}
	for _, h := range f.Hosts {
		b, err := Get(ctx, "http://"+h.Control.String()+"/ledger")
		if err != nil {
			return sum, err
		}
		var ledger Ledger
		if err := json.Unmarshal(b, &ledger); err != nil {
			return sum, fmt.Errorf("ledger of %s: %w", h.HostPlacement.Host, err)
		}
		sum.Runs += ledger.Runs
		sum.Overflow += ledger.Overflow
		for k, n := range ledger.Requests {
			sum.Requests[k] += n
		}
		for k, n := range ledger.Keys {
			sum.Keys[k] += n
		}
	}
	if sum.Overflow > 0 {
		return sum, errors.New("the ledger of a server overflowed; send fewer requests")
	}
	return sum, nil
}

// JournalEntry is one line of a server's journal. The server writes it before the
// work begins, so the journal also has runs that a kill interrupted.
type JournalEntry struct {
	At           time.Time // wall-clock time of this machine
	Request, Key string
	// Ran is false in the line written on arrival and true in the second line,
	// which is written if the request runs.
	Ran bool
}

// Journal returns the journal of a host's server, across all its restarts.
func (f *Fleet) Journal(h *Host) ([]JournalEntry, error) {
	b, err := os.ReadFile(f.journalPath(h))
	if err != nil {
		return nil, err
	}
	var entries []JournalEntry
	for line := range strings.Lines(string(b)) {
		var e JournalEntry
		// A kill leaves no partial last line, only a machine failure does, so a
		// malformed line is a bug in the journal.
		if err := json.Unmarshal([]byte(line), &e); err != nil {
			return nil, fmt.Errorf("journal of %s: %w", h.HostPlacement.Host, err)
		}
		entries = append(entries, e)
	}
	return entries, nil
}

func (f *Fleet) journalPath(h *Host) string {
	return filepath.Join(f.config.Folder, "journal-"+string(h.HostPlacement.Host))
}
