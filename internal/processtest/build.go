package processtest

import (
	"context"
	"fmt"
	"os/exec"
)

// commandsPath is the prefix of the import paths of the project's programs.
const commandsPath = "fernbeam.example/fernbeam/cmd/"

// Build builds programs of the project, such as "agent", and writes the binaries to dir.
func Build(ctx context.Context, dir string, programs ...string) error {
	for _, program := range programs {
		build := exec.CommandContext(ctx, "go", "build", "-o", dir+"/", commandsPath+program)
		if output, err := build.CombinedOutput(); err != nil {
			return fmt.Errorf("processtest: build %s: %w\n%s", program, err, output)
		}
	}
	return nil
}
