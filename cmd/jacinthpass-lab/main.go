// Command jacinthpass-lab runs the simulated environment of jacinthpass, one
// component per process, and experiments in it.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"
)

func main() {
	root := &cobra.Command{
		Use:           "jacinthpass-lab",
		Short:         "Simulated environment of jacinthpass",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(demoCommand(), runCommand(), networkCommand(), serverCommand(), callersCommand(), storeCommand(), slopesCommand())
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	if err := root.ExecuteContext(ctx); err != nil {
		klog.Errorf("lab: %v", err)
		klog.Flush()
		os.Exit(1)
	}
}
