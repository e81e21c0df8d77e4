#!/usr/bin/env bash
# Builds the stand-ins of the cases that are scripts. Needs g++ and the system's C++ library only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for number in 1 2 3; do
  if [ -f "$number/trial.cpp" ]; then
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$number/trial.cpp" -o "bin/trial-$number"
  fi
done
