package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/user"

	"github.com/spf13/cobra"

	"jacinthpass/io/jpoperator"
)

func newApplyCommand() *cobra.Command {
	var base uint64
	var author string
	cmd := &cobra.Command{
		Use:   "apply FILE --operator ADDR",
		Short: "Replace the settings of all instances",
		Args:  cobra.ExactArgs(1),
	}
	tg := addTargetFlags(cmd)
	addAuthorFlag(cmd, &author)
	cmd.Flags().Uint64Var(&base, "base", 0, "refuse the change if the settings have another version")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if cmd.Flags().Changed("base") && base == 0 {
			return errors.New("--base must be at least 1")
		}
		text, err := os.ReadFile(args[0])
		if err != nil {
			return err
		}
		chg := jpoperator.Change{Text: text, File: args[0], Base: base, Author: author}
		version, err := changeOnce(cmd, tg, func(ctx context.Context, cl *jpoperator.Client) (uint64, error) {
			return cl.Apply(ctx, chg)
		})
		return printAccepted(cmd, version, err)
	}
	return cmd
}

// newGroupCommand returns a command that has only subcommands. Without RunE, cobra
// prints the help and reports success for an unknown subcommand.
func newGroupCommand(use, short string) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		RunE: func(cmd *cobra.Command, args []string) error {
			return fmt.Errorf("%q requires a subcommand, see --help", cmd.CommandPath())
		},
	}
}

func newDataCentreCommand() *cobra.Command {
	cmd := newGroupCommand("data-centre", "Take a data centre out of service or back in")
	cmd.AddCommand(
		newDataCentreStateCommand("out", "Take a data centre out of service; flows to its servers are terminated", true),
		newDataCentreStateCommand("in", "Take a data centre back into service", false),
	)
	return cmd
}

func newDataCentreStateCommand(verb, short string, out bool) *cobra.Command {
	var author string
	cmd := &cobra.Command{
		Use:   verb + " NAME --operator ADDR",
		Short: short,
		Args:  cobra.ExactArgs(1),
	}
	tg := addTargetFlags(cmd)
	addAuthorFlag(cmd, &author)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		version, err := changeOnce(cmd, tg, func(ctx context.Context, cl *jpoperator.Client) (uint64, error) {
			return cl.SetDataCentre(ctx, args[0], out, author)
		})
		return printAccepted(cmd, version, err)
	}
	return cmd
}

func newServerCommand() *cobra.Command {
	cmd := newGroupCommand("server", "Drain a backend server or make it active again")
	cmd.AddCommand(
		newServerStateCommand("drain", "Assign no new flows to a backend server; its existing flows continue", true),
		newServerStateCommand("activate", "Assign new flows to a backend server again", false),
	)
	return cmd
}

func newServerStateCommand(verb, short string, draining bool) *cobra.Command {
	var author string
	cmd := &cobra.Command{
		Use:   verb + " SERVICE SERVER --operator ADDR",
		Short: short,
		Args:  cobra.ExactArgs(2),
	}
	tg := addTargetFlags(cmd)
	addAuthorFlag(cmd, &author)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		version, err := changeOnce(cmd, tg, func(ctx context.Context, cl *jpoperator.Client) (uint64, error) {
			return cl.SetServer(ctx, args[0], args[1], draining, author)
		})
		return printAccepted(cmd, version, err)
	}
	return cmd
}

func newStopCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "stop --operator ADDR",
		Short: "Start a planned stop of one instance",
		Args:  cobra.NoArgs,
	}
	tg := addTargetFlags(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		// With several addresses, the command would go on to the next instance if the
		// first has stopped already, and stop that one too.
		if len(tg.addrs) != 1 {
			return errors.New("stop takes exactly one --operator")
		}
		list, err := tg.clients()
		if err != nil {
			return err
		}
		if err := list[0].Stop(cmd.Context()); err != nil {
			return err
		}
		fmt.Fprintf(cmd.OutOrStdout(), "instance at %s is stopping\n", tg.addrs[0])
		return nil
	}
	return cmd
}

func addAuthorFlag(cmd *cobra.Command, author *string) {
	cmd.Flags().StringVar(author, "author", userName(), "author of the change")
}

// userName returns the name of the current user, or "" if it cannot be determined.
func userName() string {
	us, err := user.Current()
	if err != nil {
		return ""
	}
	return us.Username
}

func printAccepted(cmd *cobra.Command, version uint64, err error) error {
	if err != nil {
		return err
	}
	fmt.Fprintf(cmd.OutOrStdout(), "accepted, settings version %d\n", version)
	return nil
}
