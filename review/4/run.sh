#!/bin/sh
# Plays the case after the build of deploy/system.toml and review/build.sh. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/review/harness ] || { echo "run review/build.sh first" >&2; exit 2; }
exec target/review/harness late-call "$folder"
