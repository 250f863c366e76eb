package configuration

import (
	"fmt"
	"strconv"
	"strings"

	"rosedrift.example/rosedrift/internal/structs"
)

// object is one line of the text form.
type object struct {
	// title is the kind and the name, for example "zone catania".
	title  string
	fields []setting
}

type setting struct{ name, value string }

// objects returns the objects of the document in the order of the text form.
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

func settings[T any](fields []Field[T], target *T) []setting {
	list := make([]setting, len(fields))
	for i, field := range fields {
		list[i] = setting{field.Name, field.Get(target)}
	}
	return list
}

// text returns the settings as pairs of name and value.
func (o object) text() string {
	words := make([]string, 0, len(o.fields))
	for _, field := range o.fields {
		words = append(words, field.name+" "+field.value)
	}
	return strings.Join(words, " ")
}

// Diff returns the changes from one document to another, one line each, in a fixed order. It is empty if the documents
// have the same settings; revision and change are not compared.
func Diff(before, after *structs.Configuration) []string {
	old := map[string]object{}
	for _, o := range objects(before) {
		old[o.title] = o
	}
	var lines []string
	for _, o := range objects(after) {
		previous, known := old[o.title]
		delete(old, o.title)
		if !known {
			lines = append(lines, o.title+": new, "+o.text())
			continue
		}
		lines = append(lines, diffFields(previous, o)...)
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
		if old := before.fields[i].value; old != field.value {
			lines = append(lines, fmt.Sprintf("%s %s: %s, was %s", after.title, field.name, field.value, old))
		}
	}
	return lines
}

// Export returns the document in the text form for operators: one line per object with all its settings.
func Export(document *structs.Configuration) string {
	var text strings.Builder
	text.WriteString("# rosedrift configuration. Import is refused if the revision is no longer the newest.\n")
	fmt.Fprintf(&text, "revision %d\n", document.Revision)
	for _, o := range objects(document) {
		fmt.Fprintf(&text, "%s %s\n", o.title, o.text())
	}
	return text.String()
}

// Import parses the text form. The text describes the whole document, so an import removes objects that the text does
// not list. Settings that are left out have their defaults. The document has the revision that the text names. All
// violations are reported at once, with their lines, in a *ValidationError.
func Import(text string) (*structs.Configuration, error) {
	parser := &textParser{document: Default()}
	for number, line := range strings.Split(text, "\n") {
		words := strings.Fields(line)
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		if err := parser.parseLine(words); err != nil {
			parser.check.require(false, fmt.Sprintf("line %d", number+1), "%s", err)
		}
	}
	parser.check.require(parser.hasRevision, "text", "a line with the revision is missing, for example: revision 12")
	if err := parser.check.err(); err != nil {
		return nil, err
	}
	return parser.document, nil
}

// textParser collects the document and the violations of an import.
type textParser struct {
	document    *structs.Configuration
	check       checker
	hasRevision bool
}

var lineKinds = []string{"revision", "limits", "zone", "service", "team", "server", "retired"}

func (p *textParser) parseLine(words []string) error {
	switch kind := words[0]; kind {
	case "revision":
		return p.parseRevision(words[1:])
	case "limits":
		return setAll(LimitFields(), &p.document.Limits, words[1:])
	case "zone":
		return importObject(p.document.Zones, structs.ZoneConfig{State: structs.ZoneIn}, ZoneFields(), words)
	case "service":
		return importObject(p.document.Services, structs.DefaultServiceConfig(), ServiceFields(), words)
	case "team":
		return importObject(p.document.Teams, DefaultTeam(), TeamFields(), words)
	case "server":
		return importObject(p.document.Servers, structs.ServerConfig{State: structs.ServerDraining}, ServerFields(), words)
	case "retired":
		return p.parseRetired(words)
	default:
		return &ValueError{Field: "the first word", Value: kind, Want: "one of " + strings.Join(lineKinds, ", "),
			Suggestion: Nearest(kind, lineKinds)}
	}
}

// DefaultTeam returns the settings of a team that is created without options.
func DefaultTeam() structs.TeamConfig { return structs.TeamConfig{Weight: structs.DefaultTeamWeight} }

func (p *textParser) parseRevision(words []string) error {
	invalid := &ValueError{Field: "revision", Value: strings.Join(words, " "), Want: "one whole number"}
	if len(words) != 1 || p.hasRevision {
		return invalid
	}
	revision, err := strconv.ParseUint(words[0], 10, 64)
	if err != nil {
		return invalid
	}
	p.document.Revision = structs.Revision(revision)
	p.hasRevision = true
	return nil
}

// parseRetired parses the line of a removed service, which has only the number of pools.
func (p *textParser) parseRetired(words []string) error {
	pools := map[string]structs.ServiceConfig{}
	if err := importObject(pools, structs.ServiceConfig{}, ServiceFields()[:1], words); err != nil {
		return err
	}
	p.document.Retired[words[1]] = pools[words[1]].Pools
	return nil
}

// importObject parses the words of a line, starting from the default value, and adds the object to the map.
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

// setAll sets fields from pairs of name and value.
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
