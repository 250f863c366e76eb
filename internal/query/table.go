package query

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"rosedrift.example/rosedrift/internal/admin"
)

// table collects the rows of a listing and returns them both as text, for operators, and as objects, for programs.
type table struct {
	columns []string
	rows    [][]any
}

func newTable(columns ...string) *table { return &table{columns: columns} }

func (t *table) add(cells ...any) { t.rows = append(t.rows, cells) }

// result returns the table. In Data, keys are the names of the columns with underscores in place of spaces, and
// durations are in seconds.
func (t *table) result() *admin.Result {
	result := &admin.Result{Columns: t.columns}
	objects := make([]map[string]any, 0, len(t.rows))
	for _, row := range t.rows {
		object := make(map[string]any, len(row))
		words := make([]string, len(row))
		for i, cell := range row {
			words[i] = cellText(cell)
			object[strings.ReplaceAll(t.columns[i], " ", "_")] = cellValue(cell)
		}
		result.Rows = append(result.Rows, words)
		objects = append(objects, object)
	}
	result.Data = objects
	return result
}

func cellText(cell any) string {
	switch value := cell.(type) {
	case time.Duration:
		return durationText(value)
	case float64:
		return strconv.FormatFloat(value, 'f', 2, 64)
	case []string:
		return strings.Join(value, " ")
	}
	return fmt.Sprint(cell)
}

func cellValue(cell any) any {
	if value, ok := cell.(time.Duration); ok {
		return value.Seconds()
	}
	return cell
}

// durationText rounds a duration to milliseconds below 10 s and to seconds above, which is precise enough for
// operators.
func durationText(d time.Duration) string {
	if d < 10*time.Second {
		return d.Round(time.Millisecond).String()
	}
	return d.Round(time.Second).String()
}

// quantity returns a number and a noun in the singular or plural, for example "1 task" or "3 tasks".
func quantity(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return strconv.Itoa(n) + " " + noun + "s"
}
