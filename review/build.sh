#!/bin/sh
# Builds what the scripts of the cases start besides the programs of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -trimpath -o target/review/harness ./review/harness
