package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"jacinthpass/io/jpoperator"
)

func newShowCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "show --operator ADDR",
		Short: "Print the settings in force; their version goes to standard error",
		Args:  cobra.NoArgs,
	}
	tg := addTargetFlags(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		set, err := readAny(cmd, tg, func(ctx context.Context, cl *jpoperator.Client) (jpoperator.Settings, error) {
			return cl.Settings(ctx)
		})
		if err != nil {
			return err
		}
		if set.Version == 0 {
			return errors.New("the instance has no settings yet")
		}
		fmt.Fprintf(cmd.ErrOrStderr(), "settings version %d, last author %q\n", set.Version, set.Author)
		_, err = cmd.OutOrStdout().Write(set.Text)
		return err
	}
	return cmd
}

func newExplainCommand() *cobra.Command {
	var server string
	cmd := &cobra.Command{
		Use:   "explain --operator ADDR",
		Short: "Print each resolved value with the level that sets it",
		Args:  cobra.NoArgs,
	}
	tg := addTargetFlags(cmd)
	cmd.Flags().StringVar(&server, "server", "", "only values of backend servers with this name")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		vals, err := readAny(cmd, tg, func(ctx context.Context, cl *jpoperator.Client) ([]jpoperator.Value, error) {
			return cl.Explain(ctx, server)
		})
		if err != nil {
			return err
		}
		return printValues(cmd.OutOrStdout(), vals)
	}
	return cmd
}

func newStatusCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "status --operator ADDR",
		Short: "Print the state of the first instance that responds",
		Args:  cobra.NoArgs,
	}
	tg := addTargetFlags(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		st, err := readAny(cmd, tg, func(ctx context.Context, cl *jpoperator.Client) (jpoperator.Status, error) {
			return cl.Status(ctx)
		})
		if err != nil {
			return err
		}
		return printStatus(cmd.OutOrStdout(), st)
	}
	return cmd
}

func newTimelineCommand() *cobra.Command {
	var since time.Duration
	cmd := &cobra.Command{
		Use:   "timeline --operator ADDR",
		Short: "Print the events of all instances in order of time",
		Args:  cobra.NoArgs,
	}
	tg := addTargetFlags(cmd)
	cmd.Flags().DurationVar(&since, "since", 10*time.Minute, "maximum age of events")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if since <= 0 {
			return errors.New("--since must be positive")
		}
		from := time.Now().Add(-since)
		tl, err := readAny(cmd, tg, func(ctx context.Context, cl *jpoperator.Client) (jpoperator.Timeline, error) {
			return cl.Timeline(ctx, from, 0)
		})
		if err != nil {
			return err
		}
		if err := printEvents(cmd.OutOrStdout(), tl.Events); err != nil {
			return err
		}
		warnIncomplete(cmd, tl)
		return nil
	}
	return cmd
}

func warnIncomplete(cmd *cobra.Command, tl jpoperator.Timeline) {
	if tl.Omitted > 0 {
		fmt.Fprintf(cmd.ErrOrStderr(), "%d earlier events omitted; use a shorter --since\n", tl.Omitted)
	}
	if len(tl.Missing) > 0 {
		fmt.Fprintf(cmd.ErrOrStderr(), "no events from instances that did not respond: %s\n", strings.Join(tl.Missing, ", "))
	}
}
