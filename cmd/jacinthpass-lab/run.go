package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"jacinthpass/lab/jpexperiment"
)

// defaultSecondOctet is the default of the second octet of the instances' addresses.
const defaultSecondOctet = 40

func runCommand() *cobra.Command {
	var out string
	var methods []string
	var opt jpexperiment.Options
	cmd := &cobra.Command{
		Use:   "run SCENARIO.ini...",
		Short: "Run experiments and write their tables and plots",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := findPrograms(&opt); err != nil {
				return err
			}
			opt.Progress = progressPrinter(cmd, time.Now())
			var rows []jpexperiment.Row
			for _, path := range args {
				sc, err := jpexperiment.Read(path)
				if err != nil {
					return err
				}
				if len(methods) > 0 {
					sc.SteeringMethods = methods
				}
				list, err := runScenario(cmd.Context(), sc, out, opt)
				if err != nil {
					return err
				}
				rows = append(rows, list...)
			}
			return writeTables(filepath.Join(out, "all"), rows)
		},
	}
	cmd.Flags().StringVar(&out, "out", "out", "directory for tables, plots and log files")
	cmd.Flags().StringSliceVar(&methods, "ways", nil, "steering methods to run instead of those of the scenarios: owner, hash, tracking")
	cmd.Flags().IntVar(&opt.SecondOctet, "base", defaultSecondOctet, "second octet of the instances' addresses; the next four are used too")
	return cmd
}

// findPrograms sets the paths of this program and of jacinthpass, which must be in
// the same directory.
func findPrograms(opt *jpexperiment.Options) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	opt.LabProgram = self
	opt.InstanceProgram = filepath.Join(filepath.Dir(self), "jacinthpass")
	if _, err := os.Stat(opt.InstanceProgram); err != nil {
		return fmt.Errorf("lab: the program jacinthpass is not next to jacinthpass-lab; build both into one directory: %w", err)
	}
	return nil
}

func progressPrinter(cmd *cobra.Command, began time.Time) func(string, ...any) {
	return func(format string, args ...any) {
		fmt.Fprintf(cmd.OutOrStdout(), "%5.1fs  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
	}
}

// runScenario runs a scenario with each of its steering methods in turn and writes
// the results.
func runScenario(ctx context.Context, sc jpexperiment.Scenario, out string, opt jpexperiment.Options) ([]jpexperiment.Row, error) {
	var runs []jpexperiment.Run
	var rows []jpexperiment.Row
	dir := filepath.Join(out, sc.Name)
	for _, method := range slices.Compact(sc.SteeringMethods) {
		opt.Dir = filepath.Join(dir, method)
		opt.Progress("%s, %s", sc.Name, method)
		rn, err := jpexperiment.Execute(ctx, sc, method, opt)
		if err != nil {
			return nil, fmt.Errorf("%s, %s: %w", sc.Name, method, err)
		}
		if err := jpexperiment.WriteDetails(filepath.Join(opt.Dir, "details.json"), &rn); err != nil {
			return nil, err
		}
		runs = append(runs, rn)
		rows = append(rows, jpexperiment.Measure(&rn))
	}
	if err := jpexperiment.WritePlot(filepath.Join(dir, sc.Name+".png"), runs); err != nil {
		return nil, err
	}
	return rows, writeTables(filepath.Join(dir, sc.Name), rows)
}

// writeTables writes a table as Markdown and as CSV.
func writeTables(path string, rows []jpexperiment.Row) error {
	md, err := os.Create(path + ".md")
	if err != nil {
		return err
	}
	defer md.Close()
	if err := jpexperiment.WriteMarkdown(md, rows); err != nil {
		return err
	}
	cs, err := os.Create(path + ".csv")
	if err != nil {
		return err
	}
	defer cs.Close()
	return jpexperiment.WriteCSV(cs, rows)
}
