#!/bin/bash
# Plays one case with the program of the deploy file's build:
#
#   review/run-case-2.sh CASE RECORD
#
# Writes the file RECORD. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out.
set -u

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
player=$root/build/review-2/play_case
program=$root/target/Source/Apps/Marigoldstile/marigoldstile
for file in "$player" "$program"; do
    if [ ! -x "$file" ]; then
        echo "missing: ${file#"$root"/}; run the build of deploy/system.toml and review/build-2.sh" >&2
        exit 2
    fi
done
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
timeout --kill-after=5 115 "$player" "$1" "$program" "$work" "$2"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
