#!/usr/bin/env bash
# Regenerates the committed generated code: messages from proto/ and the wire injectors of internal/process.
set -euo pipefail
cd "$(dirname "$0")"
go run ./genproto ../proto
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/wire" github.com/google/wire/cmd/wire
cd ..
"$bin/wire" gen ./internal/process
