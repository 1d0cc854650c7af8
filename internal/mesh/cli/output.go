package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// write writes a verb's result: value as JSON, or what writeText writes, as --output says.
func (inv *invocation) write(value any, writeText func(w io.Writer) error) error {
	if inv.output != outputJSON {
		return writeText(inv.stdout)
	}
	e := json.NewEncoder(inv.stdout)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	return e.Encode(value)
}

// table is rows of cells under a header.
type table struct {
	header []string
	rows   [][]any
}

// add adds a row.
func (t *table) add(cells ...any) { t.rows = append(t.rows, cells) }

// write writes the table in aligned columns, an empty cell as "-".
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

// labels are the words that describe the state of something.
type labels []string

// addIf adds a label where the condition holds.
func (l *labels) addIf(condition bool, label string) {
	if condition {
		*l = append(*l, label)
	}
}

// addEither adds the first label where the condition holds, else the second.
func (l *labels) addEither(condition bool, label, otherwise string) {
	if !condition {
		label = otherwise
	}
	*l = append(*l, label)
}

// String joins the labels with commas.
func (l labels) String() string { return strings.Join(l, ",") }

// syncingNote follows the name of a machine that may not know all sidecars yet.
func syncingNote(syncing bool) string {
	if !syncing {
		return ""
	}
	return "; it has begun or was cut off a moment ago and may not have heard of all"
}
