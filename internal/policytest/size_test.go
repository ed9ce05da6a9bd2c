package policytest

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// maxLines is what the operators run at the most: lines that are not blank, comments too,
// of the files that the deploy file names as the module's, and of all files under policy/.
const maxLines = 1200

// nonBlank counts the lines of a file of the repository that are not blank, and reports
// those wider than 110 characters.
func nonBlank(t *testing.T, name string) int {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("../..", name))
	if err != nil {
		t.Fatal(err)
	}
	lines := 0
	for i, line := range strings.Split(string(text), "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		lines++
		if width := len([]rune(strings.ReplaceAll(line, "\t", "    "))); width > 110 {
			t.Errorf("%s:%d is %d characters wide, at most 110", name, i+1, width)
		}
	}
	return lines
}

func TestPolicySize(t *testing.T) {
	deploy, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	list := regexp.MustCompile(`(?m)^policy = \[(.*)\]$`).FindSubmatch(deploy)
	if list == nil {
		t.Fatal("the deploy file names no files of the module")
	}
	lines := 0
	for _, name := range regexp.MustCompile(`[^", ]+`).FindAllString(string(list[1]), -1) {
		lines += nonBlank(t, name)
	}
	if lines == 0 || lines > maxLines {
		t.Errorf("the module has %d lines that are not blank, at most %d", lines, maxLines)
	}
}

// TestAllOfPolicyWithinTheCap holds every file under policy/, tests too, to the cap: the
// module's tests belong in this package.
func TestAllOfPolicyWithinTheCap(t *testing.T) {
	lines := 0
	err := filepath.WalkDir("../../policy", func(path string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		rel, err := filepath.Rel("../..", path)
		if err == nil {
			lines += nonBlank(t, rel)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	if lines == 0 || lines > maxLines {
		t.Errorf("policy/ has %d lines that are not blank, at most %d", lines, maxLines)
	}
}
