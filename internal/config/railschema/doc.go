// Package railschema decodes and validates INI sections by the tags of struct fields: key, unit, default, min, max, oneof, required
// and help.
package railschema
