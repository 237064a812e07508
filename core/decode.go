package core

import (
	"bytes"
	"encoding"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// DecodeStrict decodes exactly one JSON value into target and returns its problems:
// a value of the wrong type, and every field that the target does not have. It
// returns false where the data is longer than limit or is not exactly one JSON value:
// target is then unchanged and its content cannot be checked any further. Where it
// returns true, the data is valid only if there are no findings.
func DecodeStrict(data []byte, limit Bytes, target any) (Findings, bool) {
	var findings Findings
	if Bytes(len(data)) > limit {
		findings.Addf("", "%d bytes exceed the limit of %d", len(data), limit)
		return findings, false
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	var value any
	if err := decoder.Decode(&value); err != nil {
		findings.Addf("", "%s", err.Error())
		return findings, false
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		findings.Addf("", "unexpected data after the JSON value")
		return findings, false
	}
	if err := json.Unmarshal(data, target); err != nil {
		findings.Addf(errorPointer(err), "%s", err.Error())
	}
	addUnknownFields(&findings, nil, value, reflect.TypeOf(target))
	return findings, true
}

// addUnknownFields adds a finding for each field of the decoded value that the type
// does not have. path is the place of the value in the input.
func addUnknownFields(findings *Findings, path []any, value any, t reflect.Type) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if hasCustomDecoder(t) {
		return
	}
	switch v := value.(type) {
	case map[string]any:
		for _, name := range slices.Sorted(maps.Keys(v)) {
			fieldPath := append(slices.Clip(path), name)
			fieldType, ok := typeOfField(t, name)
			if !ok {
				findings.Addf(JSONPointer(fieldPath...), "unknown field")
				continue
			}
			addUnknownFields(findings, fieldPath, v[name], fieldType)
		}
	case []any:
		if t.Kind() != reflect.Slice && t.Kind() != reflect.Array {
			return
		}
		for i, element := range v {
			addUnknownFields(findings, append(slices.Clip(path), i), element, t.Elem())
		}
	}
}

// hasCustomDecoder reports whether the type implements its own decoding, or is an
// interface, which accepts any value.
func hasCustomDecoder(t reflect.Type) bool {
	pointer := reflect.PointerTo(t)
	return t.Kind() == reflect.Interface ||
		pointer.Implements(reflect.TypeFor[json.Unmarshaler]()) ||
		pointer.Implements(reflect.TypeFor[encoding.TextUnmarshaler]())
}

// typeOfField returns the type that a field of a JSON object decodes into, and false
// where type t has no such field. It returns the type any where t is neither a struct
// nor a map: json.Unmarshal reports that as a wrong type.
func typeOfField(t reflect.Type, name string) (reflect.Type, bool) {
	switch t.Kind() {
	case reflect.Map:
		return t.Elem(), true
	case reflect.Struct:
	default:
		return reflect.TypeFor[any](), true
	}
	for _, f := range reflect.VisibleFields(t) {
		tag, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if tag == "-" || !f.IsExported() {
			continue
		}
		if strings.EqualFold(tag, name) || (tag == "" && !f.Anonymous && strings.EqualFold(f.Name, name)) {
			return f.Type, true
		}
	}
	return nil, false
}

// errorPointer returns the JSON pointer to the field that a decoding error names;
// empty where it names none.
func errorPointer(err error) string {
	var typeError *json.UnmarshalTypeError
	if !errors.As(err, &typeError) || typeError.Field == "" {
		return ""
	}
	parts := bytes.Split([]byte(typeError.Field), []byte("."))
	segments := make([]any, 0, len(parts))
	for _, p := range parts {
		segments = append(segments, string(p))
	}
	return JSONPointer(segments...)
}
