// Command jpreview2 plays the scripted cases of the second review: it starts the
// processes of the deploy file, with a small platform, servers and consumers on
// loopback addresses. It exits with 1 if the rule of the case was broken, 0 if it
// held and 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// cases are the scripted cases by name. A case returns an error if it could not run.
var cases = map[string]func(ctx context.Context, root, record string, trouble bool) (*rig, error){
	"pause": playPause,
	"stray": playStray,
}

const (
	// timeLimit bounds a case.
	timeLimit = 110 * time.Second
	// endTime is for the processes of a case that was broken off, which then are killed.
	endTime = time.Second
)

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: jpreview2 CASE FOLDER, in the repository")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, timeLimit)
	defer cancel()
	type result struct {
		rig *rig
		err error
	}
	ended := make(chan result, 1)
	go func() {
		rg, err := cases[name](ctx, root, filepath.Join(folder, "record.txt"), os.Getenv("TROUBLE") != "0")
		ended <- result{rg, err}
	}()
	var rg *rig
	select {
	case res := <-ended:
		rg, err = res.rig, res.err
	case <-ctx.Done():
		time.Sleep(endTime)
		err = ctx.Err()
	}
	if rg != nil {
		defer rg.close()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, name+":", err)
		return 2
	}
	for _, text := range rg.breaks {
		fmt.Println("broken:", text)
	}
	rg.logf("result: %d breaks of the rule", len(rg.breaks))
	fmt.Printf("%s: %d breaks of the rule\n", name, len(rg.breaks))
	if len(rg.breaks) > 0 {
		return 1
	}
	return 0
}
