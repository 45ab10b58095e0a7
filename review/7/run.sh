#!/bin/bash
# Plays the case overdue-job, and writes what was sent, answered and run to record.txt beside this script. TROUBLE=0 leaves the disruption out. Exits with 1
# if the rule was broken, 0 if it held, and 2 if the case couldn't run.
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
export TROUBLE=${TROUBLE:-1}
exec "$here/../run-case-2.sh" overdue-job "$here/record.txt"
