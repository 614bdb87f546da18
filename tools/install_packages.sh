#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need.
set -euo pipefail
cd "$(dirname "$0")/.."
missing=()
while read -r package; do
    dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done <tools/packages.txt
if [ "${#missing[@]}" -gt 0 ]; then
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}"
fi
