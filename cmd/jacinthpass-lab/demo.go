package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"jacinthpass/lab/jpexperiment"
)

// demoSecondOctet differs from defaultSecondOctet, so that the demo and an experiment
// can run at the same time.
const demoSecondOctet = 70

func demoCommand() *cobra.Command {
	var settings, out string
	var seed uint64
	var opt jpexperiment.Options
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a cluster, take a data centre out of service and back in, and print broken flows, imbalance and service level",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := findPrograms(&opt); err != nil {
				return err
			}
			text, err := os.ReadFile(settings)
			if err != nil {
				return err
			}
			sc, err := jpexperiment.Demo(filepath.Base(settings), text, seed)
			if err != nil {
				return err
			}
			opt.Dir = filepath.Join(out, "demo")
			opt.Progress = progressPrinter(cmd, time.Now())
			opt.Progress("starting a cluster with the settings %s; log files are in %s", settings, opt.Dir)
			rn, err := jpexperiment.Execute(cmd.Context(), sc, jpexperiment.Owner, opt)
			if err != nil {
				return err
			}
			if err := jpexperiment.WriteDetails(filepath.Join(opt.Dir, "details.json"), &rn); err != nil {
				return err
			}
			printMeasures(cmd.OutOrStdout(), &rn)
			return nil
		},
	}
	cmd.Flags().StringVar(&settings, "settings", "examples/derwent.ini", "file with the shared settings")
	cmd.Flags().StringVar(&out, "out", "out", "directory for log files")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the load")
	cmd.Flags().IntVar(&opt.SecondOctet, "base", demoSecondOctet, "second octet of the instances' addresses; the next four are used too")
	return cmd
}

func printMeasures(out io.Writer, rn *jpexperiment.Run) {
	row := jpexperiment.Measure(rn)
	fmt.Fprintf(out, "\nbroken flows: %d of %d, %d of them ended in the data centre taken out\n",
		row.Broken, row.Flows, row.Broken-row.Unexcused)
	fmt.Fprintf(out, "imbalance over the servers of the other data centres (largest over mean): connections %.3f, requests %.3f\n",
		row.Connections, row.Requests)
	fmt.Fprint(out, "service level of new flows:")
	for _, ph := range jpexperiment.DemoPhases(rn) {
		fmt.Fprintf(out, " %s %.2f%%", ph.Name, 100*float64(ph.Served)/float64(max(ph.Flows, 1)))
	}
	fmt.Fprintln(out)
	for _, err := range rn.EventErrors {
		fmt.Fprintf(out, "failed: %v\n", err)
	}
}
