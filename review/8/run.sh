#!/bin/bash
# Plays the case gang-attempts; see ../run-case-2.sh.
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
exec "$here/../run-case-2.sh" gang-attempts "$here"
