#!/usr/bin/env bash
# Checks the format of all sources and runs clang-tidy over the compile database of build/. A file is skipped
# where it, what it includes and the configuration are unchanged since a clean pass on this machine.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files '*.cpp' '*.h' | xargs clang-format --dry-run --Werror

cache=${XDG_CACHE_HOME:-$HOME/.cache}/figspoke-lint
mkdir -p "$cache"

# Prints one line for each object file: its source, then the project's headers that it includes.
list_inputs() {
    ninja -C build -t deps | awk -v root="$PWD/" '
        /^[^ ].*: #deps/ { if (line != "") print line; line = "" }
        /^    / {
            path = $1
            sub(/^\.\.\//, root, path)
            if (index(path, root) == 1) line = line (line == "" ? "" : " ") substr(path, length(root) + 1)
        }
        END { if (line != "") print line }'
}

key_of() {
    { clang-tidy --version; cat .clang-tidy; sha256sum "$@"; } | sha256sum | cut -d' ' -f1
}

sources=()
keys=()
while read -r -a inputs; do
    source=${inputs[0]}
    git ls-files --error-unmatch "$source" >/dev/null 2>&1 || continue
    key=$(key_of "${inputs[@]}")
    if [ ! -e "$cache/$key" ]; then
        sources+=("$PWD/$source")
        keys+=("$key")
    fi
done < <(list_inputs | sort -u)

# Marks the files that no finding names. A finding in a header concerns every file that includes it.
mark_clean() {
    if grep -qE '\.h:[0-9]+:[0-9]+:.*(error|warning):' build/clang-tidy.log; then
        return
    fi
    for i in "${!sources[@]}"; do
        grep -qF "${sources[$i]}:" build/clang-tidy.log || touch "$cache/${keys[$i]}"
    done
}

if [ "${#sources[@]}" -gt 0 ]; then
    if ! run-clang-tidy -quiet -p build "${sources[@]}" 2>&1 | sed 's/\x1b\[[0-9;]*m//g' >build/clang-tidy.log; then
        grep -E 'error:|warning:' build/clang-tidy.log | sort -u | head -60
        mark_clean
        exit 1
    fi
    mark_clean
fi
echo "format and lint: clean (${#sources[@]} files checked)"
