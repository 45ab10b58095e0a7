#!/bin/bash
# Runs the case; see claim.txt and ../run-case.sh.
cd "$(dirname "${BASH_SOURCE[0]}")" && exec ../run-case.sh . stale-acknowledgement
