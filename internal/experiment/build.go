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
	// revisionLength is how many characters of a commit's hash a record has.
	revisionLength = 12
	// sourceMode is the mode of the directory that a commit's files are written into.
	sourceMode = 0o755
	// unknownRevision stands for a program of which no commit is known.
	unknownRevision = "unknown"
)

// buildPrograms returns the agent's program for each commit that the arms name.
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

// agentProgram returns the agent that a commit builds, or the configured one if the commit is empty.
func (cfg *Config) agentProgram(ctx context.Context, commit string) (string, error) {
	if commit == "" {
		return filepath.Abs(cfg.Binary)
	}
	if cfg.Repository == "" {
		return "", errors.New("no checkout is known from which a commit could be built")
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

// extractCommit writes the files of a commit into a directory.
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

// agentPackage returns the package of the agent's program in a checkout; earlier versions had another name for it.
func agentPackage(checkout string) string {
	const present, earlier = "./cmd/agent", "./cmd/ringtrack"
	if _, err := os.Stat(filepath.Join(checkout, earlier)); err == nil {
		return earlier
	}
	return present
}

// Revision returns the commit of a program: the given one if it was built from that, else the one that the program
// names, else that of the checkout. "-dirty" follows if the tree had changes; "unknown" stands for no commit.
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

// embeddedRevision returns the commit that a Go program was built from by its own account, or an empty text.
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

// buildSetting returns a setting of a program's build, or an empty text.
func buildSetting(info *debug.BuildInfo, key string) string {
	for _, setting := range info.Settings {
		if setting.Key == key {
			return setting.Value
		}
	}
	return ""
}
