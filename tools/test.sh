#!/usr/bin/env bash
# Installs packages, builds the workspace and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install_packages.sh
tools/build.sh build
echo "known failing tests (KNOWN-RED.txt), not played where a command excludes them:"
cat KNOWN-RED.txt
ctest --test-dir build --output-on-failure
