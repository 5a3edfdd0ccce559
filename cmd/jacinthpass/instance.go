package main

import (
	"flag"
	"fmt"
	"os"
	"strconv"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"jacinthpass/io/jpinstance"
)

func newInstanceCommand() *cobra.Command {
	var path, baseline string
	var verbosity int
	cmd := &cobra.Command{
		Use:   "instance --config FILE",
		Short: "Run an instance",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := initLog(verbosity); err != nil {
				return err
			}
			defer klog.Flush()
			cfg, err := jpinstance.LoadConfig(path)
			if err != nil {
				return err
			}
			cfg.Baseline = baseline
			return runInstance(cmd.Context(), cfg)
		},
	}
	cmd.Flags().StringVar(&path, "config", "", "file with the settings of this instance")
	cmd.Flags().StringVar(&baseline, "baseline", "", "use a baseline for comparison: hash or tracking")
	cmd.Flags().IntVar(&verbosity, "verbosity", 0, "verbosity of the log on standard error, from 0")
	mustMarkRequired(cmd, "config")
	return cmd
}

// initLog makes klog write to standard error.
func initLog(verbosity int) error {
	fs := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(fs)
	if err := fs.Set("logtostderr", "true"); err != nil {
		return fmt.Errorf("log: %w", err)
	}
	if err := fs.Set("v", strconv.Itoa(verbosity)); err != nil {
		return fmt.Errorf("log: %w", err)
	}
	return nil
}

func newCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file without applying it",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			if err := parseSettings(args[0], text); err != nil {
				return fmt.Errorf("settings are not valid:\n%w", err)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s is valid\n", args[0])
			return nil
		},
	}
}

// mustMarkRequired marks a flag of cmd as required. It panics if cmd has no such flag.
func mustMarkRequired(cmd *cobra.Command, flag string) {
	if err := cmd.MarkFlagRequired(flag); err != nil {
		panic(err)
	}
}
