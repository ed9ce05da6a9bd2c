package capacity

import (
	"testing"
)

const mechanismsFile = "testdata/mechanisms.toml"

func TestMechanismErrors(t *testing.T) {
	const head = "[[mechanism]]\n"
	for text, want := range map[string]string{
		head + "rows = [\"agent/*/bytes\"]\n":                               "by: is empty",
		head + "by = \"gossip\"\n":                                          "rows: is empty",
		head + "rows = [\"[\"]\nby = \"gossip\"\n":                          "is not a valid pattern",
		head + "rows = [\"agent/*/bytes\"]\nby = \"a\"\nhow = 1\n":          "mechanism.how",
		head + "rows = [\"agent/*/bytes\"]\nby = \"a | b\"\n":               "must not contain |",
		head + "rows = [\"agent/*/bytes\", \"agent/*/byts\"]\nby = \"a\"\n": "matches no row",
		head + "rows = 3\n":                                                 "rows",
	} {
		path := writeFile(t, "m.toml", text)
		m, err := LoadMechanisms(path)
		if err == nil {
			target, targetErr := LoadTarget(targetFile)
			if targetErr != nil {
				t.Fatal(targetErr)
			}
			_, err = NewPage(target, m, nil, nil)
		}
		requireOneLineError(t, err, path, want)
	}
	if m := (&Mechanisms{}); m.forRow("agent/quiet/bytes") != noMechanism {
		t.Errorf("a row that no pattern matches has mechanism %q", m.forRow("agent/quiet/bytes"))
	}
}
