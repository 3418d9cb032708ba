#!/usr/bin/env bash
# Generates the code that is committed: messages from proto/, wire graphs of internal/process.
set -euo pipefail
cd "$(dirname "$0")"
go run ./genproto ../proto
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/wire" github.com/google/wire/cmd/wire
cd ..
"$bin/wire" gen ./internal/process
