#!/usr/bin/env bash
# Runs the tests of the given packages; by default, of all. The tests that
# KNOWN-RED.txt lists run separately: their results are printed, and only they may
# fail.
#
#   scripts/unit.sh [PACKAGE...]
#
# The tests in alone run after all others, one at a time: they need a machine without
# other load.
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

(($# > 0)) && alone=() || alone=(internal/fault/crowd:TestCrowd internal/fault/crowd:TestUploads internal/fault/crowd:TestLongestBody internal/node:TestFlood)
(($# > 0)) || set -- ./...

# skipped prints the pattern of the tests that don't run beside others.
skipped() {
  (IFS='|' && echo "^(${names[*]}${names[*]:+${alone[*]:+|}}${alone[*]#*:})\$")
}

code=0
"$go" test -count=1 -timeout=20m -skip "$(skipped)" "$@" || code=1
for t in ${alone[@]+"${alone[@]}"}; do
  "$go" test -count=1 -timeout=20m -run "^${t#*:}\$" "./${t%%:*}" || code=1
done
for i in "${!names[@]}"; do
  verdict=passed
  "$go" test -count=1 -timeout=20m -run "^${names[$i]}\$" "./${folders[$i]}" || verdict=failed
  echo "known red: ${folders[$i]} ${names[$i]}: $verdict"
done
exit $code
