#!/bin/bash
# Builds the stand-ins of the cases, and the project's discovery if the build of the deploy file has not. Needs no
# network.
set -euo pipefail
cd "$(dirname "$0")/.."
CGO_ENABLED=0 go build -o review/bin/standin ./review/standin
if [ ! -x bin/discovery ]; then
	CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/discovery
fi
