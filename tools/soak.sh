#!/usr/bin/env bash
# Runs router processes under random faults and checks what they promise:
#   tools/soak.sh [--seeds N] [--seconds S] [--first SEED] [--jobs J] [-- SOAK_FLAGS...]
# Prints a line for each seed; exits non-zero where a promise was broken and names the seeds. Without --first the
# seeds follow from the time of day, so that each session plays fresh ones.
set -euo pipefail
cd "$(dirname "$0")/.."
seeds=10
seconds=20
first=$(($(date +%s) % 1000000000))
jobs=3
while [ $# -gt 0 ]; do
    case $1 in
    --seeds) seeds=$2 ;;
    --seconds) seconds=$2 ;;
    --first) first=$2 ;;
    --jobs) jobs=$2 ;;
    --)
        shift
        break
        ;;
    *)
        echo "soak: unknown option $1" >&2
        exit 2
        ;;
    esac
    shift 2
done
tools/build.sh build '' soak >/dev/null
results=$(mktemp)
trap 'rm -f "$results"' EXIT
seq "$first" $((first + seeds - 1)) |
    xargs -P "$jobs" -I{} sh -c 'build/test/soak --seed {} --seconds '"$seconds"' "$@" || true' soak "$@" |
    tee "$results"
played=$(grep -c '"seed":' "$results" || true)
broken=$(grep -v '"broken":\[\]' "$results" | grep -o '"seed":[0-9]*' | cut -d: -f2 | tr '\n' ' ' || true)
echo "soak: $played of $seeds seeds played; seeds with a broken promise: ${broken:-none}"
[ "$played" -eq "$seeds" ] && [ -z "$broken" ]
