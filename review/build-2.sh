#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 into build-review-2/: stand-ins of clients, engines and the platform.
# figspoke-platform itself comes from the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for source in review/{6,7,8,9,10}/case.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++17 -O1 -Wall -Wextra -I review -pthread -o "build-review-2/case-$number" "$source" &
done
status=0
for job in $(jobs -p); do wait "$job" || status=1; done
exit "$status"
