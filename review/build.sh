#!/bin/sh
# Builds the stand-ins of the cases into build/review/ at the repository's root. The program of the deploy file is
# built on its own, by the deploy file's build line.
set -eu
cd "$(dirname "$0")"
mkdir -p ../build/review
for source in */case.cpp; do
    number=$(dirname "$source")
    g++ -std=c++17 -O1 -Wall -Wextra -pthread -I . "$source" -o "../build/review/case-$number"
done
