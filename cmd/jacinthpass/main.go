// Command jacinthpass runs an instance of the load balancer and provides the commands
// for its operators.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"jacinthpass/io/jplintcmd"
	"jacinthpass/io/jpoperator"
)

// Exit codes. A change whose outcome is unknown has a separate code, because scripts must
// not repeat it.
const (
	exitFailed         = 1
	exitOutcomeUnknown = 3
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run executes one command and returns the exit code. The first interrupt or
// termination signal ends the command's context; a second one ends the process.
func run(args []string, out, errOut io.Writer) int {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	context.AfterFunc(ctx, cancel)
	root := newRootCommand()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return 0
	}
	var ee *jplintcmd.ExitError
	if errors.As(err, &ee) {
		return ee.Code
	}
	fmt.Fprintln(errOut, "jacinthpass:", err)
	return exitCode(err)
}

func exitCode(err error) int {
	var (
		lre   *jpoperator.LostResponseError
		store *jpoperator.StoreError
	)
	switch {
	case errors.As(err, &lre) && lre.Change:
		return exitOutcomeUnknown
	case errors.As(err, &store) && store.Outcome != jpoperator.NotApplied:
		return exitOutcomeUnknown
	}
	return exitFailed
}

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "jacinthpass",
		Short:         "Layer-4 load balancer",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		newInstanceCommand(),
		newCheckCommand(),
		jplintcmd.New("Review settings before they are applied; - reads standard input", reviewSettings),
		newApplyCommand(),
		newShowCommand(),
		newExplainCommand(),
		newDataCentreCommand(),
		newServerCommand(),
		newStatusCommand(),
		newTimelineCommand(),
		newStopCommand(),
	)
	return root
}
