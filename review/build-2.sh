#!/bin/bash
# Builds the stand-ins of the cases from 6 on into build/review-2. Needs a C++ compiler and jsoncpp, which the build of the deploy file needs, too.
set -euo pipefail

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
mkdir -p "$root/build/review-2"
"${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra "$root"/review/standin-2/*.cpp -o "$root/build/review-2/play_case" -ljsoncpp -pthread
