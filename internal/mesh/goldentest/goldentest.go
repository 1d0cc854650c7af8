// Package goldentest holds message types to the JSON that running processes and stored files know.
// It is used by tests alone.
//
// A golden file holds three encodings of a type: "zero" of its zero value, "sparse" with every
// pointer, slice and map present and every other field zero, and "full" with every field set. The
// first two show which fields are left out when they are empty. The values are derived from the
// order of the fields, so no test names a field, and renaming one in Go changes nothing here.
package goldentest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// encodings is the content of a golden file.
type encodings struct {
	Zero   json.RawMessage `json:"zero"`
	Sparse json.RawMessage `json:"sparse"`
	Full   json.RawMessage `json:"full"`
}

// CheckJSON fails the test unless T encodes to testdata/<name>.json, byte by byte, and the full
// encoding there decodes to the value that it was made from. Golden files are never rewritten: a
// running process of an earlier version sends and expects what they hold.
func CheckJSON[T any](t *testing.T, name string) {
	t.Helper()
	full := Full[T]()
	got := encodings{Zero: encode(t, *new(T)), Sparse: encode(t, sparse[T]()), Full: encode(t, full)}
	path := filepath.Join("testdata", name+".json")
	golden, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("%v; a new message needs a file with\n%s", err, format(got))
	}
	if want := string(golden); want != format(got) {
		t.Errorf("%s: the encoding has changed\n got %s\nwant %s", path, format(got), want)
	}
	var want encodings
	if err := json.Unmarshal(golden, &want); err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	var decoded T
	if err := json.Unmarshal(want.Full, &decoded); err != nil {
		t.Fatalf("%s: decode: %v", path, err)
	}
	if !reflect.DeepEqual(decoded, full) {
		t.Errorf("%s: decodes to\n%+v, want\n%+v", path, decoded, full)
	}
}

// Full returns a T with every exported field set, all the way down, each to another value.
func Full[T any]() T {
	var value T
	(&filler{leaves: true}).fill(reflect.ValueOf(&value).Elem())
	return value
}

// sparse returns a T whose pointers, slices and maps are present and hold zero values.
func sparse[T any]() T {
	var value T
	(&filler{}).fill(reflect.ValueOf(&value).Elem())
	return value
}

// format returns the content of a golden file, one encoding a line.
func format(e encodings) string {
	return fmt.Sprintf("{\n\"zero\": %s,\n\"sparse\": %s,\n\"full\": %s\n}\n", e.Zero, e.Sparse, e.Full)
}

func encode(t *testing.T, value any) json.RawMessage {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatalf("encode %T: %v", value, err)
	}
	return bytes.TrimSpace(text)
}

// filler sets values; each leaf gets the next number.
type filler struct {
	leaves bool // set fields that are no containers, too
	number int
}

var rawMessage = reflect.TypeFor[json.RawMessage]()

func (f *filler) fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				f.fill(v.Field(i))
			}
		}
	case reflect.Slice:
		f.fillSlice(v)
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(key)
		f.fill(value)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	default:
		if f.leaves {
			f.fillLeaf(v)
		}
	}
}

// fillSlice gives a list two elements; bytes and raw JSON are leaves.
func (f *filler) fillSlice(v reflect.Value) {
	switch {
	case v.Type() == rawMessage:
		f.number++
		v.SetBytes(fmt.Appendf(nil, `{"number":%d}`, f.number))
	case v.Type().Elem().Kind() == reflect.Uint8:
		f.number++
		v.SetBytes(fmt.Appendf(nil, "bytes %d", f.number))
	default:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		f.fill(v.Index(0))
		f.fill(v.Index(1))
	}
}

func (f *filler) fillLeaf(v reflect.Value) {
	f.number++
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString(fmt.Sprintf("text %d", f.number))
	case reflect.Uint8:
		v.SetUint(1) // an enumeration, whose second value it is
	case reflect.Uint, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(f.number))
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(f.number))
	case reflect.Float64:
		v.SetFloat(float64(f.number) + 0.5)
	default:
		panic(fmt.Sprintf("goldentest: no value for a %v", v.Type()))
	}
}
