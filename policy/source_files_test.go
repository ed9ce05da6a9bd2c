package policy_test

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// maxLineWidth is the maximum width of a line of the module, in characters. A tab counts as four.
const maxLineWidth = 110

// repositoryRoot is the path of the repository, relative to this package.
const repositoryRoot = ".."

// policyFiles returns the paths of the source files of the module, relative to the repository root.
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

// TestDeployFileNamesThePolicy checks that the deploy file lists exactly the module's files except tests.
func TestDeployFileNamesThePolicy(t *testing.T) {
	deploy, err := os.ReadFile(filepath.Join(repositoryRoot, "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	list := regexp.MustCompile(`(?m)^policy = \[(.*)\]$`).FindSubmatch(deploy)
	if list == nil {
		t.Fatal("deploy/balancer.toml has no list of policy files")
	}
	named := regexp.MustCompile(`[^", ]+`).FindAllString(string(list[1]), -1)
	slices.Sort(named)
	present := slices.DeleteFunc(policyFiles(t),
		func(name string) bool { return strings.HasSuffix(name, "_test.go") })
	slices.Sort(present)
	if !slices.Equal(named, present) {
		t.Errorf("deploy/balancer.toml lists %v, policy/ contains %v", named, present)
	}
}

// TestPolicyLineWidth checks that no line of the module is wider than maxLineWidth.
func TestPolicyLineWidth(t *testing.T) {
	for _, name := range policyFiles(t) {
		text, err := os.ReadFile(filepath.Join(repositoryRoot, name))
		if err != nil {
			t.Fatal(err)
		}
		for i, line := range strings.Split(string(text), "\n") {
			width := len([]rune(strings.ReplaceAll(line, "\t", "    ")))
			if width > maxLineWidth {
				t.Errorf("%s:%d is %d characters wide, want at most %d", name, i+1, width, maxLineWidth)
			}
		}
	}
}
