package railschema

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/config/railini"
)

const maxSuggestionDistance = 3

var durationType = reflect.TypeFor[time.Duration]()

// Schema decodes sections into values of one struct type.
type Schema[T any] struct{}

// Decode returns the values of a section, with defaults for keys that are not set. It returns one joined error that names file, line
// and key of each fault.
func (s Schema[T]) Decode(doc railini.Document, section string) (T, error) {
	value, err := s.decode(doc, section)
	return value, errors.Join(err, s.checkRequired(doc, section))
}

// CheckPartial validates a section that may be spread over several files, so that required keys may be missing. It returns the same
// errors as Decode otherwise.
func (s Schema[T]) CheckPartial(doc railini.Document, section string) error {
	_, err := s.decode(doc, section)
	return err
}

// Markdown returns a Markdown table of the schema's keys.
func (s Schema[T]) Markdown() string {
	var b strings.Builder
	b.WriteString("| key | unit | default | range | effect |\n|---|---|---|---|---|\n")
	for _, f := range keyFields[T]() {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", f.Tag.Get("key"), f.Tag.Get("unit"), defaultText(f), rangeText(f), f.Tag.Get("help"))
	}
	return b.String()
}

// EachKey calls visit with the key, default value and help text of each field, in declaration order.
func (s Schema[T]) EachKey(visit func(key, defaultValue, help string)) {
	for _, f := range keyFields[T]() {
		visit(f.Tag.Get("key"), f.Tag.Get("default"), f.Tag.Get("help"))
	}
}

func (s Schema[T]) decode(doc railini.Document, section string) (T, error) {
	var value T
	var errs []error
	known := map[string]bool{}
	target := reflect.ValueOf(&value).Elem()
	for _, f := range keyFields[T]() {
		key := f.Tag.Get("key")
		known[key] = true
		text, ok := doc.Value(section, key)
		if !ok {
			text = f.Tag.Get("default")
		}
		if text == "" && !ok {
			continue
		}
		if err := setField(target.FieldByIndex(f.Index), f, text); err != nil {
			errs = append(errs, errors.Newf("%s: %v", doc.Position(section, key), err))
		}
	}
	for _, key := range doc.Keys(section) {
		if !known[key] {
			errs = append(errs, errors.Newf("%s: unknown key%s", doc.Position(section, key), suggestion(key, known)))
		}
	}
	return value, errors.Join(errs...)
}

func (s Schema[T]) checkRequired(doc railini.Document, section string) error {
	var errs []error
	for _, f := range keyFields[T]() {
		key := f.Tag.Get("key")
		if f.Tag.Get("required") == "" {
			continue
		}
		if text, ok := doc.Value(section, key); !ok || text == "" {
			errs = append(errs, errors.Newf("%s: missing; set it to %s", doc.Position(section, key), f.Tag.Get("help")))
		}
	}
	return errors.Join(errs...)
}

func keyFields[T any]() []reflect.StructField {
	var list []reflect.StructField
	for _, f := range reflect.VisibleFields(reflect.TypeFor[T]()) {
		if f.Tag.Get("key") != "" {
			list = append(list, f)
		}
	}
	return list
}

func setField(v reflect.Value, f reflect.StructField, text string) error {
	switch {
	case f.Type == durationType:
		d, err := time.ParseDuration(text)
		if err != nil {
			return errors.Newf("%q is not a duration such as 250ms or 5s", text)
		}
		if err := checkDuration(f, d); err != nil {
			return err
		}
		v.SetInt(int64(d))
	case f.Type.Kind() == reflect.Int || f.Type.Kind() == reflect.Int64:
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return errors.Newf("%q is not a whole number of %s", text, unitOf(f))
		}
		if err := checkNumber(f, float64(n)); err != nil {
			return err
		}
		v.SetInt(n)
	case f.Type.Kind() == reflect.Float64:
		n, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return errors.Newf("%q is not a number of %s", text, unitOf(f))
		}
		if err := checkNumber(f, n); err != nil {
			return err
		}
		v.SetFloat(n)
	case f.Type.Kind() == reflect.Bool:
		b, err := parseBool(text)
		if err != nil {
			return err
		}
		v.SetBool(b)
	default:
		if allowed := f.Tag.Get("oneof"); allowed != "" && !slices.Contains(strings.Fields(allowed), text) {
			return errors.Newf("%q is not one of: %s", text, strings.Join(strings.Fields(allowed), ", "))
		}
		v.SetString(text)
	}
	return nil
}

func parseBool(text string) (bool, error) {
	switch text {
	case "yes", "true":
		return true, nil
	case "no", "false":
		return false, nil
	}
	return false, errors.Newf("%q is neither yes nor no", text)
}

func checkNumber(f reflect.StructField, n float64) error {
	if low, err := strconv.ParseFloat(f.Tag.Get("min"), 64); err == nil && n < low {
		return errors.Newf("%v is below the least value %v", n, low)
	}
	if high, err := strconv.ParseFloat(f.Tag.Get("max"), 64); err == nil && n > high {
		return errors.Newf("%v is above the greatest value %v", n, high)
	}
	return nil
}

func checkDuration(f reflect.StructField, d time.Duration) error {
	if low, err := time.ParseDuration(f.Tag.Get("min")); err == nil && d < low {
		return errors.Newf("%v is below the least value %v", d, low)
	}
	if high, err := time.ParseDuration(f.Tag.Get("max")); err == nil && d > high {
		return errors.Newf("%v is above the greatest value %v", d, high)
	}
	return nil
}

func unitOf(f reflect.StructField) string {
	if unit := f.Tag.Get("unit"); unit != "" {
		return unit
	}
	return "units"
}

func defaultText(f reflect.StructField) string {
	if f.Tag.Get("required") != "" {
		return "required"
	}
	if text := f.Tag.Get("default"); text != "" {
		return text
	}
	return "none"
}

func rangeText(f reflect.StructField) string {
	if allowed := f.Tag.Get("oneof"); allowed != "" {
		return strings.Join(strings.Fields(allowed), ", ")
	}
	if f.Type.Kind() == reflect.Bool {
		return "yes, no"
	}
	low, high := f.Tag.Get("min"), f.Tag.Get("max")
	if low == "" && high == "" {
		return "any"
	}
	return low + " to " + high
}

func suggestion(key string, known map[string]bool) string {
	var similar []string
	for k := range known {
		if distance(strings.ToLower(key), strings.ToLower(k)) <= maxSuggestionDistance {
			similar = append(similar, k)
		}
	}
	if len(similar) == 0 {
		for k := range known {
			similar = append(similar, k)
		}
	}
	slices.Sort(similar)
	return "; known keys near it: " + strings.Join(similar, ", ")
}

// distance returns the Levenshtein distance of two short strings.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			above := row[j]
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			row[j] = min(row[j]+1, row[j-1]+1, diagonal+cost)
			diagonal = above
		}
	}
	return row[len(b)]
}
