#!/usr/bin/env bash
# Runs the tests of the given packages; by default, of all. The tests that
# KNOWN-RED.txt lists run separately: their results are printed, and only they may
# fail.
#
#   scripts/unit.sh [PACKAGE...]
#
# An entry of KNOWN-RED.txt begins with a line "test: FOLDER NAME". NAME is a
# top-level test of the package in FOLDER, and no other package has one of this name.
set -euo pipefail
cd "$(dirname "$0")/.."

go=${GO:-go}
list=KNOWN-RED.txt

# declared_in NAME prints the folders that declare a test.
declared_in() {
  git grep --untracked -l "^func $1(" -- '*_test.go' | xargs -r -n1 dirname
}

folders=() names=()
if [[ -e $list ]]; then
  while read -r _ folder name rest; do
    if [[ -z $name || -n $rest || $(declared_in "$name") != "$folder" ]]; then
      echo "$list: not exactly one test $name, in $folder" >&2
      exit 1
    fi
    folders+=("$folder") names+=("$name")
  done < <(grep '^test:' "$list")
fi

(($# > 0)) || set -- ./...
if ((${#names[@]} == 0)); then
  exec "$go" test -count=1 -timeout=20m "$@"
fi

code=0
pattern="^($(IFS='|' && echo "${names[*]}"))\$"
"$go" test -count=1 -timeout=20m -skip "$pattern" "$@" || code=1
for i in "${!names[@]}"; do
  verdict=passed
  "$go" test -count=1 -timeout=20m -run "^${names[$i]}\$" "./${folders[$i]}" || verdict=failed
  echo "known red: ${folders[$i]} ${names[$i]}: $verdict"
done
exit $code
