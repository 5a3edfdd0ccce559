// Package jplintcmd provides the command that reviews a configuration before it is sent.
package jplintcmd

import (
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/goccy/go-json"
	"github.com/spf13/cobra"

	"jacinthpass/core/jplint"
)

// Reviewer reviews a configuration, given as a text with the name of its file, against the
// text in force, which is nil if that is not known. Its own error concerns the text in force.
type Reviewer func(name string, text, inForce []byte) (jplint.Report, error)

// maxSize bounds the size of a configuration that is read, in bytes.
const maxSize = 64 << 20

// ExitError carries the exit code of a review with findings, which have been printed.
type ExitError struct{ Code int }

// Error names the exit code.
func (ee *ExitError) Error() string { return fmt.Sprintf("exit code %d", ee.Code) }

// New returns the command "lint".
func New(short string, review Reviewer) *cobra.Command {
	var against string
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "lint FILE",
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			rp, err := run(cmd.InOrStdin(), args[0], against, review)
			if err != nil {
				return err
			}
			print := printTables
			if asJSON {
				print = printJSON
			}
			if err := print(cmd.OutOrStdout(), rp); err != nil {
				return err
			}
			if code := rp.ExitCode(); code != jplint.ExitClean {
				return &ExitError{code}
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&against, "against", "", "file with the version in force")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON instead of tables")
	return cmd
}

// run reads the files and reviews them. A configuration that can't be read is a finding,
// so that it has the exit code of an error.
func run(stdin io.Reader, path, against string, review Reviewer) (jplint.Report, error) {
	var inForce []byte
	if against != "" {
		var err error
		if inForce, err = read(stdin, against); err != nil {
			return unreadable(err), nil
		}
	}
	text, err := read(stdin, path)
	if err != nil {
		return unreadable(err), nil
	}
	name := path
	if path == "-" {
		name = "stdin"
	}
	rp, err := review(name, text, inForce)
	if err != nil {
		rp.Findings = append([]jplint.Finding{{Level: jplint.Error, Place: against, Problem: err.Error()}}, rp.Findings...)
	}
	return rp, nil
}

func unreadable(err error) jplint.Report {
	return jplint.Report{Findings: []jplint.Finding{{Level: jplint.Error, Problem: err.Error()}}}
}

// read returns the text of a file, or of the standard input for "-". It is never nil.
func read(stdin io.Reader, path string) ([]byte, error) {
	from := stdin
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		defer file.Close()
		from = file
	}
	text, err := io.ReadAll(io.LimitReader(from, maxSize+1))
	if err == nil && len(text) > maxSize {
		err = fmt.Errorf("%s is larger than %d bytes", path, maxSize)
	}
	return append([]byte{}, text...), err
}

func printTables(out io.Writer, rp jplint.Report) error {
	tw := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if len(rp.Findings) == 0 {
		fmt.Fprintln(tw, "no findings")
	} else {
		row(tw, "LEVEL", "PLACE", "PROBLEM")
		for _, fi := range rp.Findings {
			row(tw, fi.Level.String(), fi.Place, fi.Problem)
		}
	}
	if len(rp.Changes) > 0 {
		fmt.Fprintln(tw)
		row(tw, "CHANGED", "KEY", "IN FORCE", "NEW")
		for _, ch := range rp.Changes {
			row(tw, ch.Place, ch.Key, ch.InForce, ch.New)
		}
	}
	return tw.Flush()
}

// row writes one row. Cells hold no line breaks or tabs, which would break the table.
func row(out io.Writer, cells ...string) {
	for ix, cell := range cells {
		if cell = strings.Join(strings.Fields(cell), " "); cell == "" {
			cell = "-"
		}
		cells[ix] = cell
	}
	fmt.Fprintln(out, strings.Join(cells, "\t"))
}

type wireReport struct {
	Findings []wireFinding `json:"findings"`
	Changes  []wireChange  `json:"changes"`
}

type wireFinding struct {
	Level   string `json:"level"`
	Place   string `json:"place"`
	Problem string `json:"problem"`
}

type wireChange struct {
	Place   string `json:"place"`
	Key     string `json:"key"`
	InForce string `json:"in_force"`
	New     string `json:"new"`
}

func printJSON(out io.Writer, rp jplint.Report) error {
	wire := wireReport{Findings: []wireFinding{}, Changes: []wireChange{}}
	for _, fi := range rp.Findings {
		wire.Findings = append(wire.Findings, wireFinding{fi.Level.String(), fi.Place, fi.Problem})
	}
	for _, ch := range rp.Changes {
		wire.Changes = append(wire.Changes, wireChange(ch))
	}
	text, err := json.MarshalIndent(wire, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s\n", text)
	return err
}
