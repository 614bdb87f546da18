#!/usr/bin/env bash
# Runs the pure tests under AddressSanitizer and UndefinedBehaviorSanitizer, and the tests of the shared
# tables under ThreadSanitizer.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/build.sh build-asan address,undefined pure_tests
tools/build.sh build-tsan thread table_tests
RC_PARAMS="seed=20261204 max_success=30" ASAN_OPTIONS=detect_leaks=0 build-asan/test/pure_tests
build-tsan/test/table_tests
