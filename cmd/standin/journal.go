package main

import (
	"encoding/json"
	"os"
	"time"
)

// This file writes what arrives and what runs to a file, for tests that kill
// the server: its ledger ends with the process, the file does not.

// entry is one line of the journal.
type entry struct {
	At           time.Time
	Request, Key string
	// Ran is false for a request that arrived; a second line follows if it runs.
	Ran bool
}

// journal appends to a file; the zero value writes nothing.
type journal struct{ file *os.File }

// openJournal opens a journal; an empty path gives one that writes nothing.
func openJournal(path string) (journal, error) {
	if path == "" {
		return journal{}, nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	return journal{f}, err
}

// write adds a line in one call, so that a kill leaves no half of it. Work must
// not begin without its line, so a failure aborts the request.
func (j journal) write(request, key string, ran bool) {
	if j.file == nil {
		return
	}
	b, err := json.Marshal(entry{At: time.Now(), Request: request, Key: key, Ran: ran})
	if err == nil {
		_, err = j.file.Write(append(b, '\n'))
	}
	if err != nil {
		panic("journal not written: " + err.Error())
	}
}
