// Package goldentest holds message types to the JSON that running processes and stored files know.
// It is used by tests alone.
//
// A golden file holds several encodings of a type: "zero" of its zero value, "pointers" with every
// pointer present and every other field zero, "lists" with every slice and map present in their
// place, "odd" and "even" with all of these and every second value, and "full" with every field
// set. All but the last show which fields are left out when they are empty. The values are derived
// from the order of the fields, so no test names a field, and renaming one in Go changes nothing
// here.
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
	Zero     json.RawMessage `json:"zero"`
	Pointers json.RawMessage `json:"pointers"`
	Lists    json.RawMessage `json:"lists"`
	Odd      json.RawMessage `json:"odd"`
	Even     json.RawMessage `json:"even"`
	Full     json.RawMessage `json:"full"`
}

// CheckJSON fails the test unless T encodes to testdata/<name>.json, byte by byte, and the full
// encoding there decodes to the value that it was made from. Golden files are never rewritten: a
// running process of an earlier version sends and expects what they hold.
func CheckJSON[T any](t *testing.T, name string) {
	t.Helper()
	full := fill[T](filler{pointers: true, lists: true, sets: all})
	got := encodings{
		Zero:     encode(t, *new(T)),
		Pointers: encode(t, fill[T](filler{pointers: true, sets: none})),
		Lists:    encode(t, fill[T](filler{lists: true, sets: none})),
		Odd:      encode(t, fill[T](filler{pointers: true, lists: true, sets: odd})),
		Even:     encode(t, fill[T](filler{pointers: true, lists: true, sets: even})),
		Full:     encode(t, full),
	}
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

// CheckStillRead fails the test unless every encoding of an earlier release in testdata/<name>.json decodes
// to a T that encodes to the same bytes: what T has gained since is left out where it is empty.
func CheckStillRead[T any](t *testing.T, name string) {
	t.Helper()
	path := filepath.Join("testdata", name+".json")
	golden, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var all map[string]json.RawMessage
	if err := json.Unmarshal(golden, &all); err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	for kind, text := range all {
		var decoded T
		if err := json.Unmarshal(text, &decoded); err != nil {
			t.Errorf("%s: decode %s: %v", path, kind, err)
		}
		if got := encode(t, decoded); !bytes.Equal(got, text) {
			t.Errorf("%s: %s is read as\n%s, want\n%s", path, kind, got, text)
		}
	}
}

// fill returns a T that a filler has filled.
func fill[T any](f filler) T {
	var value T
	f.fill(reflect.ValueOf(&value).Elem())
	return value
}

// format returns the content of a golden file, one encoding a line.
func format(e encodings) string {
	return fmt.Sprintf("{\n\"zero\": %s,\n\"pointers\": %s,\n\"lists\": %s,\n"+
		"\"odd\": %s,\n\"even\": %s,\n\"full\": %s\n}\n",
		e.Zero, e.Pointers, e.Lists, e.Odd, e.Even, e.Full)
}

func encode(t *testing.T, value any) json.RawMessage {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatalf("encode %T: %v", value, err)
	}
	return bytes.TrimSpace(text)
}

// filler sets the fields of a value, all the way down.
type filler struct {
	pointers bool // pointers lead somewhere
	lists    bool // slices and maps get elements
	// sets chooses the values to set. All that are no containers are numbered, and one that is set
	// holds its number; bytes and raw JSON count as one value.
	sets   func(number int) bool
	number int
}

func none(int) bool        { return false }
func all(int) bool         { return true }
func odd(number int) bool  { return number%2 == 1 }
func even(number int) bool { return number%2 == 0 }

var rawMessage = reflect.TypeFor[json.RawMessage]()

func (f *filler) fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		if f.pointers {
			v.Set(reflect.New(v.Type().Elem()))
			f.fill(v.Elem())
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if field := v.Type().Field(i); field.IsExported() && field.Tag.Get("json") != "-" {
				f.fill(v.Field(i))
			}
		}
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			f.fillLeaf(v)
		} else if f.lists {
			v.Set(reflect.MakeSlice(v.Type(), 2, 2))
			f.fill(v.Index(0))
			f.fill(v.Index(1))
		}
	case reflect.Map:
		if f.lists {
			key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
			f.fill(key)
			f.fill(value)
			v.Set(reflect.MakeMap(v.Type()))
			v.SetMapIndex(key, value)
		}
	default:
		f.fillLeaf(v)
	}
}

// fillLeaf numbers a value that is no container, and sets it where it is chosen.
func (f *filler) fillLeaf(v reflect.Value) {
	f.number++
	if !f.sets(f.number) {
		return
	}
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
	case reflect.Slice:
		text := fmt.Sprintf("bytes %d", f.number)
		if v.Type() == rawMessage {
			text = fmt.Sprintf(`{"number":%d}`, f.number)
		}
		v.SetBytes([]byte(text))
	default:
		panic(fmt.Sprintf("goldentest: no value for a %v", v.Type()))
	}
}
