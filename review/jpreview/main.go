// Command jpreview runs the scripted cases of the review. Each case starts a small
// deployment with real processes of the entry program, brings about one disruption
// and checks one rule from what callers, servers and the platform see.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseRun is one run of a case.
type caseRun struct {
	*deployment
	trouble bool // whether the disruption is brought about
}

// cases returns whether the rule held, by name of the case.
var cases = map[string]func(cr *caseRun) (held bool, err error){
	"malformed-entry": runMalformedEntry,
	"large-watch":     runLargeWatch,
	"stale-syn":       runStaleSYN,
}

func main() {
	// The processes end with the thread that started them, see Pdeathsig.
	runtime.LockOSThread()
	name := flag.String("case", "", "name of the case")
	recordPath := flag.String("record", "", "file for the record of the run")
	program := flag.String("program", "target/jacinthpass-entry", "entry program")
	flag.Parse()
	os.Exit(run(*name, *recordPath, *program))
}

func run(name, recordPath, program string) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "jpreview: no case %q\n", name)
		return exitNotRun
	}
	re, err := openRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, "jpreview:", err)
		return exitNotRun
	}
	defer re.close()
	dir, err := os.MkdirTemp("", "jpreview-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "jpreview:", err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	dp, err := startDeployment(re, program, dir)
	defer dp.close()
	go closeEarly(dp, dir)
	held := false
	if err == nil {
		cr := &caseRun{deployment: dp, trouble: os.Getenv("TROUBLE") != "0"}
		re.add("case %s, disruption: %t", name, cr.trouble)
		held, err = play(cr)
	}
	if err != nil {
		re.add("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "jpreview:", err)
		return exitNotRun
	}
	re.add("the rule held: %t", held)
	fmt.Printf("%s: disruption %t, the rule held: %t\n", name, os.Getenv("TROUBLE") != "0", held)
	if !held {
		return exitBroken
	}
	return exitHeld
}

// maxRunTime bounds a run.
const maxRunTime = 110 * time.Second

// closeEarly ends the processes when this one is asked to end or takes too long.
func closeEarly(dp *deployment, dir string) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(maxRunTime):
	}
	dp.close()
	_ = os.RemoveAll(dir)
	os.Exit(exitNotRun)
}
