package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/config"
)

// This file implements the check command, which validates a folder of documents
// with one file Name.json per document. Operators run it in the CI of their
// repository before documents are published. The host list may be missing, since
// the platform maintains it; references to it are then not checked.

// runCheck runs the check command. It prints each finding on a line of its own
// that begins with the path of the file.
func runCheck(_ context.Context, args []string, stdout, stderr io.Writer) int {
	if len(args) != 1 || strings.HasPrefix(args[0], "-") {
		fmt.Fprintln(stderr, "usage: primrosethread check <folder>")
		return exitUsage
	}
	c := checker{folder: args[0], out: stdout}
	if err := c.run(); err != nil {
		fmt.Fprintln(stderr, "primrosethread check:", err)
		return exitFailed
	}
	if c.findingCount > 0 {
		fmt.Fprintf(stderr, "%d findings\n", c.findingCount)
		return exitFailed
	}
	fmt.Fprintf(stderr, "%d documents in %s are valid\n", c.validCount, c.folder)
	return exitOK
}

// checker validates the documents of one folder.
type checker struct {
	folder       string
	out          io.Writer
	findingCount int
	validCount   int // documents without findings
}

// run validates each document and then the references between them.
func (c *checker) run() error {
	if err := c.reportUnknownFiles(); err != nil {
		return err
	}
	var set config.Set
	for _, name := range prim.DocumentNames {
		body, err := readDocument(c.path(name))
		if errors.Is(err, fs.ErrNotExist) {
			c.reportMissing(name)
			continue
		}
		if err != nil {
			return err
		}
		err = set.Parse(name, body)
		var findings config.Findings
		if err != nil && !errors.As(err, &findings) {
			return err
		}
		c.print(findings)
		if err == nil {
			c.validCount++
		}
	}
	c.print(set.CheckReferences())
	return nil
}

// path returns the path of a document's file.
func (c *checker) path(name string) string { return filepath.Join(c.folder, name+".json") }

// print prints findings and counts them. The place of a finding begins with the
// name of its document, from which the path of the file follows.
func (c *checker) print(findings config.Findings) {
	for _, f := range findings {
		name, _, _ := strings.Cut(f.Place, ".")
		fmt.Fprintf(c.out, "%s: %s\n", c.path(name), f)
		c.findingCount++
	}
}

// reportMissing reports a document that has no file. Only the host list may be
// missing.
func (c *checker) reportMissing(name string) {
	if name == prim.NameHosts {
		fmt.Fprintf(c.out, "%s: file is missing; the names of services and hosts are not checked\n", c.path(name))
		return
	}
	c.print(config.Findings{{Place: name, Value: "nothing", Problem: "is given", Remedy: "add the file"}})
}

// reportUnknownFiles reports JSON files whose name is not that of a document. A
// file with a misspelled name would otherwise be ignored silently.
func (c *checker) reportUnknownFiles() error {
	entries, err := os.ReadDir(c.folder)
	if err != nil {
		return err
	}
	for _, e := range entries {
		name, ok := strings.CutSuffix(e.Name(), ".json")
		if ok && !slices.Contains(prim.DocumentNames[:], name) {
			fmt.Fprintf(c.out, "%s: file name is not that of a document; rename the file to one of %v or remove it\n", c.path(name), prim.DocumentNames)
			c.findingCount++
		}
	}
	return nil
}

// readDocument reads a file, but at most one byte more than prim.MaxDocument. The
// extra byte makes an oversized document fail validation.
func readDocument(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, prim.MaxDocumentBytes+1))
}
