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

// This file is the check command, which the CI of an operators' repository runs
// before documents are published. Its folder holds one file Name.json for each
// document. The host list may be absent, since the platform maintains it; the
// references to it are then not checked.

// check is the check command. It prints every finding on a line that begins
// with the file.
func check(_ context.Context, args []string, out, errs io.Writer) int {
	if len(args) != 1 || strings.HasPrefix(args[0], "-") {
		fmt.Fprintln(errs, "usage: primrosethread check <folder>")
		return exitUsage
	}
	c := checker{folder: args[0], out: out}
	if err := c.run(); err != nil {
		fmt.Fprintln(errs, "primrosethread check:", err)
		return exitFailed
	}
	if c.found > 0 {
		fmt.Fprintf(errs, "%d findings\n", c.found)
		return exitFailed
	}
	fmt.Fprintf(errs, "%d documents in %s have no findings\n", c.read, c.folder)
	return exitOK
}

// checker checks one folder.
type checker struct {
	folder string
	out    io.Writer
	found  int // findings
	read   int // accepted documents
}

// run checks each document and then the references between them.
func (c *checker) run() error {
	if err := c.strays(); err != nil {
		return err
	}
	var set config.Set
	for _, name := range prim.DocumentNames {
		body, err := readBounded(c.file(name))
		if errors.Is(err, fs.ErrNotExist) {
			c.absent(name)
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
			c.read++
		}
	}
	c.print(set.CheckAcross())
	return nil
}

// file returns the path of a document.
func (c *checker) file(name string) string { return filepath.Join(c.folder, name+".json") }

// print prints findings. The place begins with the name of the document, which
// tells the file.
func (c *checker) print(findings config.Findings) {
	for _, f := range findings {
		name, _, _ := strings.Cut(f.Place, ".")
		fmt.Fprintf(c.out, "%s: %s\n", c.file(name), f)
		c.found++
	}
}

// absent reports a document without a file.
func (c *checker) absent(name string) {
	if name == prim.NameHosts {
		fmt.Fprintf(c.out, "%s: absent; the names of services and hosts are not checked\n", c.file(name))
		return
	}
	c.print(config.Findings{{Place: name, Value: "nothing", Problem: "is given", Remedy: "add the file"}})
}

// strays reports JSON files that are no documents, for example a misspelled
// one, which would otherwise be left out silently.
func (c *checker) strays() error {
	entries, err := os.ReadDir(c.folder)
	if err != nil {
		return err
	}
	for _, e := range entries {
		name, ok := strings.CutSuffix(e.Name(), ".json")
		if ok && !slices.Contains(prim.DocumentNames[:], name) {
			fmt.Fprintf(c.out, "%s: is not a document; rename it to one of %v or remove it\n", c.file(name), prim.DocumentNames)
			c.found++
		}
	}
	return nil
}

// readBounded reads a file up to one byte beyond the largest document, which is
// enough for the refusal.
func readBounded(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, prim.MaxDocumentBytes+1))
}
