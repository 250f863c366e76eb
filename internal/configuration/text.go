package configuration

import (
	"fmt"
	"strconv"
	"strings"

	"rosedrift.example/rosedrift/internal/structs"
)

// object is one line of the text form: its kind and name, and its settings in order.
type object struct {
	title  string
	fields []setting
}

type setting struct{ name, value string }

// objects returns the document in the fixed order of the text form.
func objects(document *structs.Configuration) []object {
	limits := document.Limits
	list := []object{{title: "limits", fields: settings(LimitFields(), &limits)}}
	list = appendObjects(list, "zone", document.Zones, ZoneFields())
	list = appendObjects(list, "service", document.Services, ServiceFields())
	list = appendObjects(list, "team", document.Teams, TeamFields())
	list = appendObjects(list, "server", document.Servers, ServerFields())
	for _, name := range sortedKeys(document.Retired) {
		pools := strconv.Itoa(int(document.Retired[name]))
		list = append(list, object{title: "retired " + name, fields: []setting{{"pools", pools}}})
	}
	return list
}

func appendObjects[T any](list []object, kind string, from map[string]T, fields []Field[T]) []object {
	for _, name := range sortedKeys(from) {
		value := from[name]
		list = append(list, object{title: kind + " " + name, fields: settings(fields, &value)})
	}
	return list
}

func settings[T any](fields []Field[T], of *T) []setting {
	list := make([]setting, len(fields))
	for i, field := range fields {
		list[i] = setting{field.Name, field.Get(of)}
	}
	return list
}

func (o object) text() string {
	words := make([]string, 0, len(o.fields))
	for _, field := range o.fields {
		words = append(words, field.name+" "+field.value)
	}
	return strings.Join(words, " ")
}

// Diff returns the changes from one document to another, one sentence each, in a fixed order. It is empty if the
// documents have the same settings; revision and change are not compared.
func Diff(before, after *structs.Configuration) []string {
	old := map[string]object{}
	for _, o := range objects(before) {
		old[o.title] = o
	}
	var lines []string
	for _, o := range objects(after) {
		was, known := old[o.title]
		delete(old, o.title)
		if !known {
			lines = append(lines, o.title+": new, "+o.text())
			continue
		}
		lines = append(lines, diffFields(was, o)...)
	}
	for _, o := range objects(before) {
		if _, removed := old[o.title]; removed {
			lines = append(lines, o.title+": removed")
		}
	}
	return lines
}

func diffFields(before, after object) []string {
	var lines []string
	for i, field := range after.fields {
		if was := before.fields[i].value; was != field.value {
			lines = append(lines, fmt.Sprintf("%s %s: %s, was %s", after.title, field.name, field.value, was))
		}
	}
	return lines
}

// Export returns the document as text for people: one line per object with all settings.
func Export(document *structs.Configuration) string {
	var text strings.Builder
	text.WriteString("# rosedrift configuration. Import is refused if the revision is no longer the newest.\n")
	fmt.Fprintf(&text, "revision %d\n", document.Revision)
	for _, o := range objects(document) {
		fmt.Fprintf(&text, "%s %s\n", o.title, o.text())
	}
	return text.String()
}

// Import parses the text form. Settings that are left out have their defaults; the whole document is the content of
// the text, so objects that are left out are removed by an import. The revision is the one that the text names. All
// faults are reported at once in a *ValidationError, by line.
func Import(text string) (*structs.Configuration, error) {
	reader := &importer{document: Default()}
	for number, line := range strings.Split(text, "\n") {
		words := strings.Fields(line)
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		if err := reader.line(words); err != nil {
			reader.check.require(false, fmt.Sprintf("line %d", number+1), "%s", err)
		}
	}
	reader.check.require(reader.revised, "text", "a line with the revision is missing, for example: revision 12")
	if err := reader.check.err(); err != nil {
		return nil, err
	}
	return reader.document, nil
}

type importer struct {
	document *structs.Configuration
	check    checker
	revised  bool
}

var lineKinds = []string{"revision", "limits", "zone", "service", "team", "server", "retired"}

func (i *importer) line(words []string) error {
	switch kind := words[0]; kind {
	case "revision":
		return i.revision(words[1:])
	case "limits":
		return setAll(LimitFields(), &i.document.Limits, words[1:])
	case "zone":
		return importObject(i.document.Zones, structs.ZoneConfig{State: structs.ZoneIn}, ZoneFields(), words)
	case "service":
		return importObject(i.document.Services, structs.DefaultServiceConfig(), ServiceFields(), words)
	case "team":
		return importObject(i.document.Teams, DefaultTeam(), TeamFields(), words)
	case "server":
		return importObject(i.document.Servers, structs.ServerConfig{State: structs.ServerDraining}, ServerFields(), words)
	case "retired":
		return i.retired(words)
	default:
		return &ValueError{Field: "the first word", Value: kind, Want: "one of " + strings.Join(lineKinds, ", "),
			Suggestion: Nearest(kind, lineKinds)}
	}
}

// DefaultTeam returns the settings of a team that an operator creates without options.
func DefaultTeam() structs.TeamConfig { return structs.TeamConfig{Weight: structs.DefaultTeamWeight} }

func (i *importer) revision(words []string) error {
	want := &ValueError{Field: "revision", Value: strings.Join(words, " "), Want: "one whole number"}
	if len(words) != 1 || i.revised {
		return want
	}
	revision, err := strconv.ParseUint(words[0], 10, 64)
	if err != nil {
		return want
	}
	i.document.Revision = structs.Revision(revision)
	i.revised = true
	return nil
}

func (i *importer) retired(words []string) error {
	pools := map[string]structs.ServiceConfig{}
	if err := importObject(pools, structs.ServiceConfig{}, ServiceFields()[:1], words); err != nil {
		return err
	}
	i.document.Retired[words[1]] = pools[words[1]].Pools
	return nil
}

func importObject[T any](into map[string]T, value T, fields []Field[T], words []string) error {
	if len(words) < 2 {
		return &ValueError{Field: words[0], Value: "", Want: "a name"}
	}
	name := words[1]
	if _, twice := into[name]; twice {
		return &ValueError{Field: words[0], Value: name, Want: "each name once"}
	}
	if err := setAll(fields, &value, words[2:]); err != nil {
		return err
	}
	into[name] = value
	return nil
}

// setAll sets pairs of field and value.
func setAll[T any](fields []Field[T], target *T, words []string) error {
	if len(words)%2 != 0 {
		return &ValueError{Field: words[len(words)-1], Value: "", Want: "a value after each field"}
	}
	for i := 0; i < len(words); i += 2 {
		if err := SetField(fields, target, words[i], words[i+1]); err != nil {
			return err
		}
	}
	return nil
}
