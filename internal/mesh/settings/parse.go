package settings

import (
	"errors"
	"slices"
	"strings"

	validation "github.com/go-ozzo/ozzo-validation/v4"
	"github.com/goccy/go-yaml"

	"caperarch/internal/mesh/errs"
)

// Parse parses a settings file and ignores unknown fields. It returns an error of kind Invalid for a missing or invalid
// field, with a message of one line that starts with the field's path. It returns an error of kind Malformed for text
// that is not YAML.
func Parse(data []byte) (*Settings, error) {
	var document map[string]any
	if err := yaml.Unmarshal(data, &document); err != nil {
		return nil, malformedError(err)
	}
	s := new(Settings)
	// The machine class determines which other fields the schema requires.
	if err := machineClassSchema(&s.Self).Validate(document); err != nil {
		return nil, invalidError(err)
	}
	if err := s.schema().Validate(document); err != nil {
		return nil, invalidError(err)
	}
	return s, nil
}

// invalidError converts errors of the schema to an error of one line: the path of the alphabetically first invalid
// field, and what is wrong with the field.
func invalidError(err error) error {
	var path []string
	for {
		var fields validation.Errors
		if !errors.As(err, &fields) || len(fields) == 0 {
			break
		}
		names := make([]string, 0, len(fields))
		for name := range fields {
			names = append(names, name)
		}
		first := slices.Min(names)
		path, err = append(path, first), fields[first]
	}
	if len(path) == 0 {
		return errs.New(errs.Invalid, "settings: %s", err)
	}
	return errs.New(errs.Invalid, "%s: %s", strings.Join(path, "."), err)
}

// malformedError converts an error of the YAML parser, which quotes several lines of the source, to an error of one
// line.
func malformedError(err error) error {
	var yamlError yaml.Error
	if !errors.As(err, &yamlError) {
		line, _, _ := strings.Cut(err.Error(), "\n")
		return errs.New(errs.Malformed, "settings: %s", line)
	}
	message, _, _ := strings.Cut(yamlError.GetMessage(), "\n")
	if token := yamlError.GetToken(); token != nil && token.Position != nil {
		return errs.New(errs.Malformed, "settings: line %d: %s", token.Position.Line, message)
	}
	return errs.New(errs.Malformed, "settings: %s", message)
}
