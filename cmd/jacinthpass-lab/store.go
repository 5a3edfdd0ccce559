package main

import (
	"github.com/spf13/cobra"

	"jacinthpass/lab/jpcontrol"
	"jacinthpass/lab/jpstorestand"
)

func storeCommand() *cobra.Command {
	var listen string
	cmd := &cobra.Command{
		Use:   "store",
		Short: "Run the simulated store of the platform, with its instance list",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			srv, err := jpcontrol.Serve(listen, jpstorestand.New())
			if err != nil {
				return err
			}
			defer srv.Close()
			<-cmd.Context().Done()
			return nil
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.5.0.1:8500", "HTTP address of the API and of the control interface under /lab")
	return cmd
}
