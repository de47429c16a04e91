// Command standin-2 plays the cases of the second review in review/6 to review/10. It starts
// nodes as processes, and has stand-ins for the platform's store, the servers and the clients.
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not
// run.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// outcome is the result of a case.
type outcome struct {
	broken  bool
	verdict []string
}

// scenario plays a case. With trouble unset it leaves out the disruption.
type scenario func(d *deployment, trouble bool) (outcome, error)

var scenarios = map[string]scenario{
	"removed-server-used-again": removedServerUsedAgain,
	"spoiled-status":            spoiledStatus,
	"many-fields":               manyFields,
}

// maxTime is the longest time that a case may take.
const maxTime = 100 * time.Second

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/primrosethread", "path of the program under test")
	path := flag.String("record", "record.txt", "path of the record")
	flag.Parse()
	play, ok := scenarios[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		os.Exit(2)
	}
	time.AfterFunc(maxTime, func() {
		fmt.Fprintln(os.Stderr, "the case took too long")
		os.Exit(2) // which ends the nodes too
	})
	code, err := run(play, *program, *path, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
	}
	os.Exit(code)
}

func run(play scenario, program, path string, trouble bool) (code int, err error) {
	folder, err := os.MkdirTemp("", "review-2")
	if err != nil {
		return 2, err
	}
	defer os.RemoveAll(folder)
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		defer os.CopyFS(keep, os.DirFS(folder))
	}
	rec := newRecord()
	d, err := newDeployment(folder, program, rec)
	if err != nil {
		return 2, err
	}
	defer d.stop()
	o, err := play(d, trouble)
	if err != nil {
		return 2, err
	}
	head := append([]string{fmt.Sprintf("played at %s, trouble %v, broken %v", time.Now().UTC().Format(time.RFC3339), trouble, o.broken)}, o.verdict...)
	for _, v := range head {
		fmt.Println(v)
	}
	if err := rec.write(path, head); err != nil {
		return 2, err
	}
	if o.broken {
		return 1, nil
	}
	return 0, nil
}
