package settings

import (
	"errors"
	"slices"
	"strings"

	validation "github.com/go-ozzo/ozzo-validation/v4"
	"github.com/goccy/go-yaml"

	"caperarch/internal/mesh/errs"
)

// Parse reads the text of a settings file. Fields that it doesn't know are ignored. What is missing or
// wrong is errs.Invalid, on one line that starts with the field's path; text that is no YAML is
// errs.Malformed.
func Parse(data []byte) (*Settings, error) {
	var document map[string]any
	if err := yaml.Unmarshal(data, &document); err != nil {
		return nil, malformed(err)
	}
	s := new(Settings)
	// The machine class decides which fields the rest has.
	if err := machineClassSchema(&s.Self).Validate(document); err != nil {
		return nil, invalid(err)
	}
	if err := s.schema().Validate(document); err != nil {
		return nil, invalid(err)
	}
	return s, nil
}

// invalid turns the schema's errors into one line: the path of the first field by name, and what is
// wrong with it.
func invalid(err error) error {
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

// malformed turns an error of the YAML parser, which quotes the source over several lines, into one
// line.
func malformed(err error) error {
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
