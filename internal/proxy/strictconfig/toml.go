// Package strictconfig decodes configuration files. An unknown key is an error that names its line.
package strictconfig

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/pelletier/go-toml/v2"
)

// DecodeTOML decodes a TOML text into the struct that into points to. An unknown key or malformed TOML is an error
// that names the line.
func DecodeTOML(text []byte, into any) error {
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	err := d.Decode(into)
	var unknown *toml.StrictMissingError
	var malformed *toml.DecodeError
	switch {
	case errors.As(err, &unknown) && len(unknown.Errors) > 0:
		line, _ := unknown.Errors[0].Position()
		return fmt.Errorf("line %d: unknown key %v", line, unknown.Errors[0].Key())
	case errors.As(err, &malformed):
		line, column := malformed.Position()
		return fmt.Errorf("line %d, column %d: %v", line, column, malformed)
	}
	return err
}
