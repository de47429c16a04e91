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
// assigns their versions. A version is the modification time of the file in
// milliseconds, or the previous version plus one if that is larger. Versions
// therefore increase across restarts, and several stand-ins that read the same
// folder assign the same versions. Writers should write a temporary file and
// rename it into the folder, so that no incomplete file is read.

// document is one version of a document. It is immutable.
type document struct {
	name    string
	version uint64
	hash    uint64
	body    []byte // compact JSON
}

// snapshot holds the documents that the platform serves at one moment.
type snapshot struct {
	documents []*document // sorted by name
	// counter increases by one with every change of a document.
	counter uint64
	issued  time.Time
	changed chan struct{} // closed at the next change
}

// folder reads documents from the files of a directory.
type folder struct {
	path string
	log  *slog.Logger

	mu        sync.Mutex
	published snapshot
	// rejected holds the hash of the last rejected content by document name, so that
	// each content is logged once.
	rejected map[string]uint64
}

// newFolder returns a folder whose documents were read once.
func newFolder(path string, log *slog.Logger) (*folder, error) {
	f := &folder{path: path, log: log, rejected: make(map[string]uint64)}
	f.published.changed = make(chan struct{})
	return f, f.read()
}

// current returns the documents of the last read.
func (f *folder) current() snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.published
}

// watch reads the folder at the given interval until the context is cancelled.
func (f *folder) watch(ctx context.Context, interval time.Duration) error {
	for sleep(ctx, interval) {
		if err := f.read(); err != nil {
			f.log.Warn("reading the folder failed", "error", err)
		}
	}
	return nil
}

// read publishes the files whose content changed. If a file is malformed or too
// large, its previous version stays. If a file was removed, its last version stays
// too, since published documents are never withdrawn.
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

// readFile publishes one file if its content changed.
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
		f.reject(name, raw, err)
		return nil
	}
	body := compact.Bytes()
	if len(body) > prim.MaxDocumentBytes {
		f.reject(name, raw, fmt.Errorf("document has %d bytes, more than the limit of %d", len(body), prim.MaxDocumentBytes))
		return nil
	}
	d := &document{name: name, version: uint64(max(1, info.ModTime().UnixMilli())), hash: xxh3.Hash(body), body: body}
	i, found := slices.BinarySearchFunc(f.published.documents, name, func(d *document, name string) int { return strings.Compare(d.name, name) })
	docs := slices.Clone(f.published.documents) // readers may hold the old slice
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
	f.published.documents = docs
	f.published.counter++
	close(f.published.changed)
	f.published.changed = make(chan struct{})
	f.log.Info("document published", "name", d.name, "version", d.version, "bytes", len(d.body))
	return nil
}

// reject logs that a file was rejected, once for each content.
func (f *folder) reject(name string, raw []byte, err error) {
	h := xxh3.Hash(raw)
	if f.rejected[name] != h {
		f.rejected[name] = h
		f.log.Warn("document not published", "name", name, "error", err)
	}
}
