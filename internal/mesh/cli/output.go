package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// write writes the result of a verb in the format of the flag --output: value as JSON, or the output of writeText.
func (inv *invocation) write(value any, writeText func(w io.Writer) error) error {
	if inv.output != outputJSON {
		return writeText(inv.stdout)
	}
	encoder := json.NewEncoder(inv.stdout)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// table is a table of text output.
type table struct {
	header []string
	rows   [][]any
}

// add appends a row.
func (t *table) add(cells ...any) { t.rows = append(t.rows, cells) }

// write writes the table in aligned columns. An empty cell is written as "-".
func (t *table) write(w io.Writer) error {
	columns := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(columns, strings.Join(t.header, "\t"))
	for _, row := range t.rows {
		for i, cell := range row {
			if i > 0 {
				fmt.Fprint(columns, "\t")
			}
			if cell == "" {
				cell = "-"
			}
			fmt.Fprint(columns, cell)
		}
		fmt.Fprintln(columns)
	}
	return columns.Flush()
}

// labels describe the state of a machine or an upstream in text output.
type labels []string

// addIf appends a label if the condition is true.
func (l *labels) addIf(condition bool, label string) {
	if condition {
		*l = append(*l, label)
	}
}

// addEither appends label if the condition is true, and otherwise the second label.
func (l *labels) addEither(condition bool, label, otherwise string) {
	if !condition {
		label = otherwise
	}
	*l = append(*l, label)
}

// String returns the labels, separated by commas.
func (l labels) String() string { return strings.Join(l, ",") }

// syncingNote returns a note that is written after the name of a core machine if the machine is syncing and may not
// know all sidecars yet. Otherwise, it returns an empty string.
func syncingNote(syncing bool) string {
	if !syncing {
		return ""
	}
	return "; it has begun or was cut off a moment ago and may not have heard of all"
}
