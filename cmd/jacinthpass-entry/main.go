// Command jacinthpass-entry runs an entry instance on the Derwent platform.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"jacinthpass/io/jpentry"
	"jacinthpass/io/jplintcmd"
	"jacinthpass/platform"
)

func main() {
	err := newRootCommand().Execute()
	var ee *jplintcmd.ExitError
	if errors.As(err, &ee) {
		os.Exit(ee.Code)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "jacinthpass-entry:", err)
		os.Exit(1)
	}
}

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "jacinthpass-entry",
		Short:         "Entry instance of the load balancer on the Derwent platform",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		newRunCommand(), newCheckCommand(),
		jplintcmd.New("Review a configuration of routes and services before it is sent; - reads standard input", platform.Review),
	)
	return root
}

func newRunCommand() *cobra.Command {
	var opts jpentry.Options
	var verbosity int
	cmd := &cobra.Command{
		Use:   "run",
		Short: "Run an entry instance with the settings file provided by the platform",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if opts.LogLinesPerSecond < 0 {
				return fmt.Errorf("--log-lines %d is negative", opts.LogLinesPerSecond)
			}
			path, err := platform.SettingsPath()
			if err != nil {
				return err
			}
			return run(cmd.Context(), path, opts, verbosity)
		},
	}
	cmd.Flags().Uint16Var(&opts.MetricsPort, "metrics-port", 0, "port of the metrics server on the machine's address; 0 disables it")
	cmd.Flags().IntVar(&opts.LogLinesPerSecond, "log-lines", 200, "maximum number of log lines about packets per second")
	cmd.Flags().IntVar(&verbosity, "verbosity", 0, "verbosity of the log, from 0")
	return cmd
}

func newCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file of the platform without running an instance",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			settings, err := platform.LoadSettings(args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s is valid: instance %s in %s\n", args[0], settings.ID, settings.DataCentre)
			return nil
		},
	}
}

// run runs an instance until SIGINT or SIGTERM, with its log on standard output. SIGHUP
// makes it read the settings again.
func run(ctx context.Context, path string, opts jpentry.Options, verbosity int) error {
	ctx, cancel := signal.NotifyContext(contextOrBackground(ctx), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	log := jpentry.NewLogWriter(os.Stdout)
	defer log.Close()
	if err := initLog(log, verbosity); err != nil {
		return err
	}
	defer klog.Flush()
	opts.Log = log
	return jpentry.Run(ctx, platform.New(path), opts, reloadSignals(ctx))
}

func contextOrBackground(ctx context.Context) context.Context {
	if ctx == nil {
		return context.Background()
	}
	return ctx
}

// reloadSignals returns a channel that receives a value for SIGHUP until ctx ends.
// Signals that arrive while a value is pending are merged into it.
func reloadSignals(ctx context.Context) <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	reload := make(chan struct{}, 1)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
			}
			select {
			case reload <- struct{}{}:
			default:
			}
		}
	}()
	return reload
}

// initLog makes klog write to log only.
func initLog(log *jpentry.LogWriter, verbosity int) error {
	fs := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(fs)
	for name, value := range map[string]string{
		"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL",
		"one_output": "true", "v": strconv.Itoa(verbosity),
	} {
		if err := fs.Set(name, value); err != nil {
			return fmt.Errorf("log: %w", err)
		}
	}
	klog.SetOutput(log)
	return nil
}
