#!/usr/bin/env bash
# Installs packages, builds the workspace and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install_packages.sh
tools/build.sh build
ctest --test-dir build --output-on-failure
