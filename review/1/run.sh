#!/bin/bash
# Runs the case many-ends; see claim.txt. TROUBLE=0 leaves the disruption out. Writes record.txt beside this script (RECORD names another file).
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "${BASH_SOURCE[0]}")" || exit 2
exec ../run-case.sh many-ends "${TROUBLE:-1}" "${RECORD:-$PWD/record.txt}"
