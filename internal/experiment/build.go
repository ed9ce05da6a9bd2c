package experiment

import (
	"context"
	"debug/buildinfo"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/debug"
	"strings"
)

const (
	// revisionLength is the number of characters of a commit hash in a record.
	revisionLength = 12
	// sourceMode is the permission mode of the directory that a commit is extracted to.
	sourceMode = 0o755
	// unknownRevision is the revision of a program whose commit is not known.
	unknownRevision = "unknown"
)

// buildPrograms builds the agent for each commit that an arm names and returns the paths of the programs by commit.
func (cfg *Config) buildPrograms(ctx context.Context) (map[string]string, error) {
	programs := map[string]string{}
	for _, arm := range cfg.Scenario.Arms {
		if programs[arm.Commit] != "" {
			continue
		}
		program, err := cfg.agentProgram(ctx, arm.Commit)
		if err != nil {
			return nil, err
		}
		programs[arm.Commit] = program
	}
	return programs, nil
}

// agentProgram builds the agent of a commit and returns the path of the program. If the commit is empty, it returns the
// path of the configured program.
func (cfg *Config) agentProgram(ctx context.Context, commit string) (string, error) {
	if commit == "" {
		return filepath.Abs(cfg.Binary)
	}
	if cfg.Repository == "" {
		return "", errors.New("an arm names a commit, but no git checkout was found to build it from")
	}
	cfg.Progress("building %s", commit)
	source := filepath.Join(cfg.Dir, "src-"+commit)
	if err := os.MkdirAll(source, sourceMode); err != nil {
		return "", err
	}
	if err := extractCommit(ctx, cfg.Repository, commit, source); err != nil {
		return "", fmt.Errorf("commit %s: %w", commit, err)
	}
	program := filepath.Join(cfg.Dir, "agent-"+commit)
	build := exec.CommandContext(ctx, "go", "build", "-o", program, agentPackage(source))
	build.Dir = source
	if text, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("commit %s: %w\n%s", commit, err, text)
	}
	return program, nil
}

// extractCommit extracts the files of a commit into a directory.
func extractCommit(ctx context.Context, repository, commit, directory string) error {
	archive := exec.CommandContext(ctx, "git", "-C", repository, "archive", commit)
	extract := exec.CommandContext(ctx, "tar", "-x", "-C", directory)
	pipe, err := archive.StdoutPipe()
	if err != nil {
		return err
	}
	extract.Stdin = pipe
	if err := extract.Start(); err != nil {
		return err
	}
	return errors.Join(archive.Run(), extract.Wait())
}

// agentPackage returns the path of the agent's main package in a checkout. The package has another name in older
// commits.
func agentPackage(checkout string) string {
	const current, legacy = "./cmd/agent", "./cmd/ringtrack"
	if _, err := os.Stat(filepath.Join(checkout, legacy)); err == nil {
		return legacy
	}
	return current
}

// Revision returns the commit that a program was built from. It is the given commit if that is not empty, else the
// commit embedded in the program, else that of the repository, or "unknown". The suffix "-dirty" marks a tree with
// uncommitted changes.
func Revision(ctx context.Context, commit, program, repository string) string {
	if commit != "" {
		return commit
	}
	if revision := embeddedRevision(program); revision != "" {
		return revision
	}
	description, err := exec.CommandContext(ctx, "git", "-C", repository, "describe", "--always", "--dirty").Output()
	if err == nil && repository != "" {
		return strings.TrimSpace(string(description))
	}
	return unknownRevision
}

// embeddedRevision returns the commit in the build information of a Go program, or an empty string.
func embeddedRevision(program string) string {
	info, err := buildinfo.ReadFile(program)
	if err != nil {
		return ""
	}
	revision := buildSetting(info, "vcs.revision")
	if revision == "" {
		return ""
	}
	revision = revision[:min(len(revision), revisionLength)]
	if buildSetting(info, "vcs.modified") == "true" {
		revision += "-dirty"
	}
	return revision
}

// buildSetting returns the build setting with a key, or an empty string.
func buildSetting(info *debug.BuildInfo, key string) string {
	for _, setting := range info.Settings {
		if setting.Key == key {
			return setting.Value
		}
	}
	return ""
}
