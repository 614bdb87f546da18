#!/usr/bin/env bash
# Builds the workspace: tools/build.sh [BUILD_DIR] [SANITIZERS] [TARGET...]
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${1:-build}
sanitizer=${2:-}
shift $(($# < 2 ? $# : 2))
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
cmake -S . -B "$build_dir" -G Ninja -DCMAKE_CXX_COMPILER=g++ -DCMAKE_CXX_COMPILER_LAUNCHER=ccache \
    -DFIGSPOKE_SANITIZER="$sanitizer" >"$build_dir.cmake.log" 2>&1 || { cat "$build_dir.cmake.log"; exit 1; }
rm -f "$build_dir.cmake.log"
cmake --build "$build_dir" ${1:+--target "$@"}
