#!/bin/bash
# Plays the case cancel-after-freeze; see ../run-case-2.sh.
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
exec "$here/../run-case-2.sh" cancel-after-freeze "$here"
