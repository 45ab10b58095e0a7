#!/bin/bash
# Plays the case overdue-job; see ../run-case-2.sh.
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
exec "$here/../run-case-2.sh" overdue-job "$here"
