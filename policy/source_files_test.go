package policy_test

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// maxLineWidth is the most characters a line of the module has, a tab counted as four.
const maxLineWidth = 110

// repositoryRoot is the path from this package to the root of the repository.
const repositoryRoot = ".."

// policyFiles returns the source files of the module, relative to the repository's root.
func policyFiles(t *testing.T) []string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(repositoryRoot, "policy", "*.go"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("no source files under policy/ (%v)", err)
	}
	var names []string
	for _, path := range paths {
		names = append(names, "policy/"+filepath.Base(path))
	}
	return names
}

// TestDeployFileNamesThePolicy holds the deploy file's list of the module's files to what is there.
func TestDeployFileNamesThePolicy(t *testing.T) {
	deploy, err := os.ReadFile(filepath.Join(repositoryRoot, "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	list := regexp.MustCompile(`(?m)^policy = \[(.*)\]$`).FindSubmatch(deploy)
	if list == nil {
		t.Fatal("the deploy file names no files of the module")
	}
	named := regexp.MustCompile(`[^", ]+`).FindAllString(string(list[1]), -1)
	slices.Sort(named)
	present := slices.DeleteFunc(policyFiles(t),
		func(name string) bool { return strings.HasSuffix(name, "_test.go") })
	slices.Sort(present)
	if !slices.Equal(named, present) {
		t.Errorf("the deploy file names %v, policy/ has %v", named, present)
	}
}

// TestPolicyLineWidth holds each line of the module to maxLineWidth.
func TestPolicyLineWidth(t *testing.T) {
	for _, name := range policyFiles(t) {
		text, err := os.ReadFile(filepath.Join(repositoryRoot, name))
		if err != nil {
			t.Fatal(err)
		}
		for i, line := range strings.Split(string(text), "\n") {
			width := len([]rune(strings.ReplaceAll(line, "\t", "    ")))
			if width > maxLineWidth {
				t.Errorf("%s:%d is %d characters wide, at most %d", name, i+1, width, maxLineWidth)
			}
		}
	}
}
