package capacity

import (
	"errors"
	"fmt"
	"strings"

	"github.com/BurntSushi/toml"
)

// decodeTOML reads a TOML file into v. A syntax error, a value of the wrong type or an unknown key
// yields a one-line error that names the file.
func decodeTOML(path string, v any) (toml.MetaData, error) {
	meta, err := toml.DecodeFile(path, v)
	var parseError toml.ParseError
	if errors.As(err, &parseError) {
		return meta, fmt.Errorf("%s:%d: %s", path, parseError.Position.Line, oneLine(parseError))
	}
	if err != nil {
		return meta, fmt.Errorf("%s: %s", path, oneLine(err))
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return meta, fmt.Errorf("%s: unknown key %q", path, unknown[0])
	}
	return meta, nil
}

// oneLine returns an error's text with line breaks replaced by spaces.
func oneLine(err error) string { return strings.ReplaceAll(err.Error(), "\n", " ") }
