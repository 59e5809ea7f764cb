#!/usr/bin/env bash
# Plays the case; claim.txt says what it shows. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/lovagestream ] && [ -x target/again ] || { echo "build first: deploy/system.toml, review/build-2.sh" >&2; exit 2; }
exec target/again late-release review/8/record.txt
