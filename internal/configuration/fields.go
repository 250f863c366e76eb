package configuration

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// Field is one setting of an object of type T that operators read and change by name.
type Field[T any] struct {
	Name string
	// Want describes the valid values.
	Want string
	// Words lists the fixed words among the valid values, for completion.
	Words []string
	// Fixed means that the field is set when the object is created and does not change afterwards.
	Fixed bool
	// get formats the value. parse stores a value and reports whether it was understood; the stored value is
	// unspecified if not.
	get   func(*T) string
	parse func(*T, string) bool
}

// Get returns the value in the form that Set accepts.
func (f Field[T]) Get(object *T) string { return f.get(object) }

// Set parses and stores the value. The error is a *ValueError, after which the field's value is unspecified. Ranges are
// checked by Validate.
func (f Field[T]) Set(object *T, value string) error {
	if f.parse(object, value) {
		return nil
	}
	return &ValueError{Field: f.Name, Value: value, Want: f.Want, Suggestion: Nearest(value, f.Words)}
}

// Words for special values: no limit on a count, all zones, and no region.
const (
	wordUnlimited = "unlimited"
	wordAll       = "all"
	wordNone      = "none"
)

var priorityWords = []string{structs.Urgent.String(), structs.Routine.String()}

// ServiceFields returns the fields of a service in the order in which they are listed.
func ServiceFields() []Field[structs.ServiceConfig] {
	type service = structs.ServiceConfig
	return []Field[service]{
		{Name: "pools", Want: "a whole number; it cannot change later", Fixed: true,
			get: func(s *service) string { return strconv.Itoa(int(s.Pools)) }, parse: func(s *service, v string) bool {
				pools, err := strconv.ParseUint(v, 10, 16)
				s.Pools = uint16(pools)
				return err == nil
			}},
		{Name: "zones", Want: "zone names joined by commas, or all", Words: []string{wordAll},
			get:   func(s *service) string { return formatList(s.Zones) },
			parse: func(s *service, v string) bool { return parseList(&s.Zones, v) }},
		priorityField("default_priority", structs.Routine.String(), func(s *service) *string { return &s.DefaultPriority }),
		durationField("task_timeout", func(s *service) *time.Duration { return &s.TaskTimeout }),
		{Name: "urgent_reserve", Want: "a number from 0 to 0.5, for example 0.03",
			get:   func(s *service) string { return formatFloat(s.UrgentReserve) },
			parse: func(s *service, v string) bool { return parseFloat(&s.UrgentReserve, v) }},
		countField("max_queued_tasks", false, func(s *service) *int { return &s.MaxQueuedTasks }),
	}
}

// TeamFields returns the fields of a team in the order in which they are listed.
func TeamFields() []Field[structs.TeamConfig] {
	type team = structs.TeamConfig
	return []Field[team]{
		{Name: "weight", Want: "a number above 0, for example 1.5",
			get:   func(t *team) string { return formatFloat(t.Weight) },
			parse: func(t *team, v string) bool { return parseFloat(&t.Weight, v) }},
		countField("max_running", true, func(t *team) *int { return &t.MaxRunning }),
		countField("max_queued", true, func(t *team) *int { return &t.MaxQueued }),
		priorityField("max_priority", structs.Urgent.String(), func(t *team) *string { return &t.MaxPriority }),
	}
}

// ZoneFields returns the fields of an availability zone.
func ZoneFields() []Field[structs.ZoneConfig] {
	type zone = structs.ZoneConfig
	return []Field[zone]{
		{Name: "state", Want: "in or out", Words: []string{string(structs.ZoneIn), string(structs.ZoneOut)},
			get: func(z *zone) string { return string(z.State) }, parse: func(z *zone, v string) bool {
				z.State = structs.ZoneState(v)
				return z.State == structs.ZoneIn || z.State == structs.ZoneOut
			}},
		{Name: "region", Want: "a region name, or none", Words: []string{wordNone},
			get: func(z *zone) string { return valueOr(z.Region, wordNone) }, parse: func(z *zone, v string) bool {
				z.Region = v
				if v == wordNone {
					z.Region = ""
				}
				return structs.ValidName(v)
			}},
	}
}

// ServerFields returns the fields of a backend server.
func ServerFields() []Field[structs.ServerConfig] {
	return []Field[structs.ServerConfig]{
		{Name: "state", Want: string(structs.ServerDraining), Words: []string{string(structs.ServerDraining)},
			get: func(s *structs.ServerConfig) string { return string(s.State) },
			parse: func(s *structs.ServerConfig, v string) bool {
				s.State = structs.ServerState(v)
				return s.State == structs.ServerDraining
			}},
	}
}

// LimitFields returns the fields of the limits of the whole system.
func LimitFields() []Field[structs.Limits] {
	type limits = structs.Limits
	return []Field[limits]{
		countField("max_tasks", false, func(l *limits) *int { return &l.MaxTasks }),
		bytesField("max_body_bytes", func(l *limits) *int64 { return &l.MaxBodyBytes }),
		bytesField("max_result_bytes", func(l *limits) *int64 { return &l.MaxResultBytes }),
		durationField("default_deadline", func(l *limits) *time.Duration { return &l.DefaultDeadline }),
		durationField("max_deadline", func(l *limits) *time.Duration { return &l.MaxDeadline }),
	}
}

// SetField sets the named field of an object. The error is a *ValueError; for an unknown name it suggests a similar
// one.
func SetField[T any](fields []Field[T], object *T, name, value string) error {
	for _, field := range fields {
		if field.Name == name {
			return field.Set(object, value)
		}
	}
	names := FieldNames(fields)
	return &ValueError{Value: name, Want: "one of " + strings.Join(names, ", "), Suggestion: Nearest(name, names)}
}

// FieldNames returns the names of the fields in the same order.
func FieldNames[T any](fields []Field[T]) []string {
	names := make([]string, len(fields))
	for i, field := range fields {
		names[i] = field.Name
	}
	return names
}

// priorityField is a field for a priority. An empty value in the document means defaultValue.
func priorityField[T any](name, defaultValue string, pointerTo func(*T) *string) Field[T] {
	return Field[T]{Name: name, Want: "urgent or routine", Words: priorityWords,
		get: func(object *T) string { return valueOr(*pointerTo(object), defaultValue) },
		parse: func(object *T, value string) bool {
			*pointerTo(object) = value
			_, ok := structs.ParsePriority(value)
			return ok && value != ""
		}}
}

func durationField[T any](name string, pointerTo func(*T) *time.Duration) Field[T] {
	return Field[T]{Name: name, Want: "a time, for example 30s or 500ms",
		get: func(object *T) string { return pointerTo(object).String() },
		parse: func(object *T, value string) bool {
			parsed, err := time.ParseDuration(value)
			*pointerTo(object) = parsed
			return err == nil
		}}
}

// countField is a field for a whole number. If unlimited is set, the value 0 is written as the word "unlimited".
func countField[T any](name string, unlimited bool, pointerTo func(*T) *int) Field[T] {
	field := Field[T]{Name: name, Want: "a whole number",
		get: func(object *T) string { return strconv.Itoa(*pointerTo(object)) },
		parse: func(object *T, value string) bool {
			parsed, err := strconv.Atoi(value)
			*pointerTo(object) = parsed
			return err == nil
		}}
	if unlimited {
		return withUnlimited(field, pointerTo)
	}
	return field
}

// withUnlimited extends a field for a whole number by the word "unlimited", which means 0.
func withUnlimited[T any](plain Field[T], pointerTo func(*T) *int) Field[T] {
	field := plain
	field.Want += ", or " + wordUnlimited
	field.Words = []string{wordUnlimited}
	field.get = func(object *T) string {
		if *pointerTo(object) == 0 {
			return wordUnlimited
		}
		return plain.get(object)
	}
	field.parse = func(object *T, value string) bool {
		if value == wordUnlimited {
			*pointerTo(object) = 0
			return true
		}
		return plain.parse(object, value)
	}
	return field
}

// byteUnits lists the suffixes of sizes. A suffix that ends in another one must come before it. formatBytes relies on
// the positions of KiB and MiB.
var byteUnits = []struct {
	suffix string
	size   int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"KB", 1000}, {"MB", 1_000_000}, {"GB", 1_000_000_000}}

// maxByteCount is the largest number that may precede a unit. Its product with any unit fits into an int64.
const maxByteCount = 1 << 32

func bytesField[T any](name string, pointerTo func(*T) *int64) Field[T] {
	return Field[T]{Name: name, Want: "a number of bytes, for example 16MiB or 500KB",
		get:   func(object *T) string { return formatBytes(*pointerTo(object)) },
		parse: func(object *T, value string) bool { return parseBytes(pointerTo(object), value) }}
}

// formatBytes uses the largest unit of MiB and KiB that divides the size, or none.
func formatBytes(size int64) string {
	for _, unit := range []int{1, 0} {
		if u := byteUnits[unit]; size > 0 && size%u.size == 0 {
			return fmt.Sprintf("%d%s", size/u.size, u.suffix)
		}
	}
	return strconv.FormatInt(size, 10)
}

func parseBytes(target *int64, value string) bool {
	factor := int64(1)
	for _, unit := range byteUnits {
		if rest, found := strings.CutSuffix(value, unit.suffix); found {
			value, factor = rest, unit.size
			break
		}
	}
	count, err := strconv.ParseInt(value, 10, 64)
	if err != nil || count < 0 || (factor > 1 && count > maxByteCount) {
		return false
	}
	*target = count * factor
	return true
}

func formatFloat(value float64) string { return strconv.FormatFloat(value, 'g', -1, 64) }

func parseFloat(target *float64, value string) bool {
	parsed, err := strconv.ParseFloat(value, 64)
	*target = parsed
	return err == nil
}

// formatList joins the words with commas. An empty list means all.
func formatList(words []string) string {
	if len(words) == 0 {
		return wordAll
	}
	return strings.Join(words, ",")
}

func parseList(target *[]string, value string) bool {
	if value == wordAll {
		*target = nil
		return true
	}
	*target = strings.Split(value, ",")
	for _, word := range *target {
		if !structs.ValidName(word) {
			return false
		}
	}
	return true
}

func valueOr(value, defaultValue string) string {
	if value == "" {
		return defaultValue
	}
	return value
}
