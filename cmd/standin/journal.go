package main

import (
	"encoding/json"
	"os"
	"time"
)

// This file records arriving and executed requests in a file, for tests that kill
// the server: the file survives the process, the in-memory ledger does not.

// entry is one line of the journal, encoded as JSON.
type entry struct {
	At           time.Time
	Request, Key string
	// Ran is false in the line that is written when a request arrives. A second line
	// with true is written before the request is executed.
	Ran bool
}

// journal appends entries to a file. The zero value writes nothing.
type journal struct{ file *os.File }

// openJournal opens the journal at path. With an empty path it returns a journal
// that writes nothing.
func openJournal(path string) (journal, error) {
	if path == "" {
		return journal{}, nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	return journal{f}, err
}

// write appends a line with a single write call, so that a kill leaves no partial
// line. It panics on failure, which aborts the request: no request may be executed
// without its line.
func (j journal) write(request, key string, ran bool) {
	if j.file == nil {
		return
	}
	b, err := json.Marshal(entry{At: time.Now(), Request: request, Key: key, Ran: ran})
	if err == nil {
		_, err = j.file.Write(append(b, '\n'))
	}
	if err != nil {
		panic("writing the journal failed: " + err.Error())
	}
}
