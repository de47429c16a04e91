package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	prim "github.com/primrosethread/primrosethread"
)

// This file reads the documents of the stand-in platform from a folder and
// numbers their versions. A version is the modification time of its file in
// milliseconds, or one more than the version before if that is larger. Versions
// therefore rise across restarts of the stand-in and agree between several that
// read the same folder. Writers should rename a complete file into the folder.

// document is one version of a document. It is not changed after it was read.
type document struct {
	name    string
	version uint64
	hash    uint64
	body    []byte // compact JSON
}

// state is what the platform serves at one moment.
type state struct {
	documents []*document // by name
	// counter rises by one with every change of a document.
	counter uint64
	issued  time.Time
	changed chan struct{} // closed at the next change
}

// folder reads documents from files.
type folder struct {
	path string
	log  *slog.Logger

	mu  sync.Mutex
	now state
	// bad remembers the last refused content by file, so that it is logged once.
	bad map[string]uint64
}

// newFolder reads the documents of a folder once.
func newFolder(path string, log *slog.Logger) (*folder, error) {
	f := &folder{path: path, log: log, bad: make(map[string]uint64)}
	f.now.changed = make(chan struct{})
	return f, f.read()
}

// current returns the documents as they were last read.
func (f *folder) current() state {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// watch reads the folder again and again until the context ends.
func (f *folder) watch(ctx context.Context, every time.Duration) error {
	for sleep(ctx, every) {
		if err := f.read(); err != nil {
			f.log.Warn("folder not read", "error", err)
		}
	}
	return nil
}

// read takes over the changed files. A file that is malformed or too large
// leaves the version before it in place; a removed file does as well, since
// published documents are never withdrawn.
func (f *folder) read() error {
	names, err := filepath.Glob(filepath.Join(f.path, "*.json"))
	if err != nil {
		return err
	}
	if _, err := os.Stat(f.path); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, path := range names {
		if err := f.readFile(path); err != nil {
			return err
		}
	}
	return nil
}

// readFile takes over one file if its content changed.
func (f *folder) readFile(path string) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	name := strings.TrimSuffix(filepath.Base(path), ".json")
	if strings.Trim(name, "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz") != "" {
		return nil // not a document, for example a temporary file
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, raw); err != nil {
		f.refuse(name, raw, err)
		return nil
	}
	body := compact.Bytes()
	if len(body) > prim.MaxDocumentBytes {
		f.refuse(name, raw, fmt.Errorf("%d bytes are more than the limit of %d", len(body), prim.MaxDocumentBytes))
		return nil
	}
	d := &document{name: name, version: uint64(max(1, info.ModTime().UnixMilli())), hash: xxh3.Hash(body), body: body}
	i, found := slices.BinarySearchFunc(f.now.documents, name, func(d *document, name string) int { return strings.Compare(d.name, name) })
	docs := slices.Clone(f.now.documents) // readers hold the old list
	if found {
		old := docs[i]
		if old.hash == d.hash && bytes.Equal(old.body, d.body) {
			return nil
		}
		d.version = max(d.version, old.version+1)
		docs[i] = d
	} else {
		docs = slices.Insert(docs, i, d)
	}
	f.now.documents = docs
	f.now.counter++
	close(f.now.changed)
	f.now.changed = make(chan struct{})
	f.log.Info("document published", "name", d.name, "version", d.version, "bytes", len(d.body))
	return nil
}

// refuse logs a refused file once for each content.
func (f *folder) refuse(name string, raw []byte, err error) {
	h := xxh3.Hash(raw)
	if f.bad[name] != h {
		f.bad[name] = h
		f.log.Warn("document not published", "name", name, "error", err)
	}
}
