package main

import (
	"github.com/spf13/cobra"

	"jacinthpass/lab/jpnetwork"
)

func networkCommand() *cobra.Command {
	var config string
	cmd := &cobra.Command{
		Use:   "network",
		Short: "Run the fabric and the fault-injecting proxy",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			conf, err := jpnetwork.ReadConfig(config)
			if err != nil {
				return err
			}
			nw, err := jpnetwork.Start(conf)
			if err != nil {
				return err
			}
			defer nw.Close()
			<-cmd.Context().Done()
			return nil
		},
	}
	cmd.Flags().StringVar(&config, "config", "", "configuration file (JSON)")
	cmd.MarkFlagRequired("config")
	return cmd
}
