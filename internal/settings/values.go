package settings

import (
	"fmt"
	"strconv"
	"time"
)

// Duration is a setting with a duration. A malformed text does not stop the parsing; Check reports it together with all
// other violations.
type Duration struct {
	time.Duration
	raw string
	err error
}

// UnmarshalText implements encoding.TextUnmarshaler. It never fails; see Duration.
func (d *Duration) UnmarshalText(text []byte) error {
	d.raw = string(text)
	d.Duration, d.err = time.ParseDuration(d.raw)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// Int is a setting with an integer. As for Duration, Check reports a malformed text.
type Int struct {
	Value int64
	raw   string
	err   error
}

// UnmarshalText implements encoding.TextUnmarshaler. It never fails; see Duration.
func (i *Int) UnmarshalText(text []byte) error {
	i.raw = string(text)
	i.Value, i.err = strconv.ParseInt(i.raw, 10, 64)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (i Int) MarshalText() ([]byte, error) { return []byte(strconv.FormatInt(i.Value, 10)), nil }

// violation returns why the value is malformed or out of range, and an empty string for a valid value.
func (d Duration) violation(low, high string) string {
	if d.err != nil {
		return fmt.Sprintf("%q is not a duration such as 500ms or 2s%s", d.raw, rangeText(low, high, ""))
	}
	if below(d.Duration, low, time.ParseDuration) || above(d.Duration, high, time.ParseDuration) {
		return fmt.Sprintf("%s is out of range%s", d.Duration, rangeText(low, high, ""))
	}
	return ""
}

func (i Int) violation(low, high, unit string) string {
	if i.err != nil {
		return fmt.Sprintf("%q is not an integer%s", i.raw, rangeText(low, high, unit))
	}
	if below(i.Value, low, parseInt) || above(i.Value, high, parseInt) {
		return fmt.Sprintf("%d is out of range%s", i.Value, rangeText(low, high, unit))
	}
	return ""
}

func parseInt(text string) (int64, error) { return strconv.ParseInt(text, 10, 64) }

// below reports whether a value is below a bound in a tag; a bound that does not parse, such as an empty one, is
// ignored.
func below[T ~int64](value T, bound string, parse func(string) (T, error)) bool {
	limit, err := parse(bound)
	return err == nil && value < limit
}

// above is the counterpart of below for an upper bound.
func above[T ~int64](value T, bound string, parse func(string) (T, error)) bool {
	limit, err := parse(bound)
	return err == nil && value > limit
}

func rangeText(low, high, unit string) string {
	if low == "" && high == "" {
		return ""
	}
	if unit != "" {
		unit = " " + unit
	}
	return fmt.Sprintf(" (%s to %s%s)", low, high, unit)
}
