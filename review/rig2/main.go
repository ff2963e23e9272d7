// Command rig2 plays the scripted cases of the second review. It starts real processes of the project's program and small
// stand-ins for the platform's store, the engines and the callers, all on loopback addresses, and judges what the stand-ins
// saw. It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play is one case: it returns what broke the rule, and an error if the case could not run.
type play func(r *run) (broken []string, err error)

// plays are the cases by name.
var plays = map[string]play{
	"late-load":    lateLoad,
	"left-engine":  leftEngine,
	"stale-holder": staleHolder,
}

// run is one run of a case.
type run struct {
	program string
	dir     string
	trouble bool
	record  *record
	begun   time.Time
}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/olivetiller", "the program of the deploy file")
	out := flag.String("record", "record.txt", "file to write what was sent, answered and run")
	flag.Parse()
	os.Exit(runCase(*name, *program, *out))
}

func runCase(name, program, out string) int {
	p, known := plays[name]
	if !known {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", name)
		return exitNotRun
	}
	rec, err := newRecord(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if program, err = filepath.Abs(program); err == nil {
		_, err = os.Stat(program)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	r := &run{program: program, dir: dir, trouble: os.Getenv("TROUBLE") != "0", record: rec, begun: clock.Now()}
	broken, err := p(r)
	if keep := os.Getenv("RIG2_KEEP"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(dir))
	}
	switch {
	case err != nil:
		rec.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	case len(broken) > 0:
		for _, b := range broken {
			rec.printf("BROKEN %s", b)
			fmt.Println("BROKEN", b)
		}
		return exitBroken
	}
	rec.printf("the rule held")
	fmt.Println("held")
	return exitHeld
}
