#!/usr/bin/env bash
# Prints one line a figure: measure=NAME baseline=X figspoke=Y limit=Z unit=U. docs/measurements.md and
# docs/measurements-routing.md explain them. Run it on an idle machine.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install_packages.sh
tools/build.sh build >/dev/null
build/test/admission_measure &
admission=$!
build/test/routing_measure &
routing=$!
wait "$admission" "$routing"
build/test/takeover_bench
build/test/fleet_measure all
