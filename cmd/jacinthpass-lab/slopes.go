package main

import (
	"fmt"
	"slices"

	"github.com/spf13/cobra"

	"jacinthpass/lab/jpslope"
)

func slopesCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "slopes [GROUP...]",
		Short: "Measure how the CPU time, memory and traffic of an instance grow with the size of the fleet",
		RunE: func(cmd *cobra.Command, args []string) error {
			for _, group := range jpslope.Groups {
				if len(args) > 0 && !slices.Contains(args, group.Name) {
					continue
				}
				list, err := group.Run()
				if err != nil {
					return err
				}
				for _, fg := range list {
					fmt.Fprintf(cmd.OutOrStdout(), "%-11s %-34s %12.3f %-6s %s\n", group.Name, fg.Name, fg.Value, fg.Unit, fg.Conditions)
				}
			}
			return nil
		},
	}
	for _, group := range jpslope.Groups {
		cmd.ValidArgs = append(cmd.ValidArgs, group.Name)
	}
	cmd.Args = cobra.OnlyValidArgs
	return cmd
}
