#!/bin/sh
# Builds the programs that the cases 6 to 10 start: the project's own and the stand-ins.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin/review-2
CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/agent ./cmd/discovery
go build -o bin/review-2/ ./review/standin-2
