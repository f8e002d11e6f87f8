#!/usr/bin/env bash
# Measures idle instances: processor time, memory and threads against the number
# of homes of one instance and against the number of instances, and the reads of
# the store. Prints one table row for each point. All processes run on loopback
# and are stopped by their process ids.
#
#   scripts/capacity.sh [homes N... | instances N... | requests]
#
# CAPACITY_SECONDS: length of one measurement; 20 by default.
set -euo pipefail
cd "$(dirname "$0")/.."

seconds=${CAPACITY_SECONDS:-20}
shards=${CAPACITY_SHARDS:-1024}
base=27000
ticks=$(getconf CLK_TCK)
work=$(mktemp -d)
pids=()

finish() {
  for p in "${pids[@]}"; do kill -KILL "$p" 2>/dev/null || true; done
  for p in "${pids[@]}"; do wait "$p" 2>/dev/null || true; done
  pids=()
}
trap 'finish; rm -rf "$work"' EXIT

run() { # LOG COMMAND...: starts a process and records its id
  "${@:2}" >"$work/$1.log" 2>&1 &
  pids+=($!)
}

configuration() { # UPSTREAMS
  printf 'organisation = "guild"\n[[services]]\nname = "quotes"\nidempotent = true\nshard-count = %d\nupstreams = [\n' "$shards"
  for ((i = 0; i < $1; i++)); do
    printf '  { name = "quote-%03d", address = "127.0.0.1:%d", region = "hobart", failure-domain = "hobart-a", slots = 2, connections = 130, fencing = "checked" },\n' "$i" $((base + 500 + i))
  done
  printf ']\n[[client-accounts]]\nname = "desk"\ncredential-sha256 = "%s"\nservices = ["quotes"]\n' "$(printf desk | sha256sum | cut -d' ' -f1)"
}

settings() { # NUMBER
  cat <<END
instance-id = "hobart-b-$1"
region = "hobart"
failure-domain = "hobart-b"
http-address = "127.0.0.1:$((base + 100 + 2 * $1))"
rpc-address = "127.0.0.1:$((base + 101 + 2 * $1))"
[platform]
table-url = "http://127.0.0.1:$base"
table-name = "dandelionrock"
instances-url = "http://127.0.0.1:$base/instances"
[[operators]]
organisation = "guild"
credential-sha256 = "$(printf operator | sha256sum | cut -d' ' -f1)"
[log]
level = "warn"
END
}

launch() { # INSTANCES UPSTREAMS
  configuration "$2" >"$work/guild.toml"
  local list=""
  for ((i = 0; i < $1; i++)); do
    settings "$i" >"$work/$i.toml"
    list+=$(printf '[[instances]]\ninstance-id = "hobart-b-%d"\nrpc-address = "127.0.0.1:%d"\nstate = "live"\n' "$i" $((base + 101 + 2 * i)))$'\n'
  done
  printf '%s' "$list" >"$work/instances.toml"
  run platform bin/standin platform --address "127.0.0.1:$base" --instances "$work/instances.toml"
  run upstreams bin/standin upstream --config "$work/guild.toml" --service-time 0s
  sleep 1
  instances=()
  for ((i = 0; i < $1; i++)); do
    run "instance-$i" bin/dandelionrock serve --settings "$work/$i.toml"
    instances+=("${pids[-1]}")
  done
  sleep 2
  DANDELIONROCK_CREDENTIAL=operator bin/dandelionrock submit --instance "http://127.0.0.1:$((base + 100))" --based-on 0 --wait "$work/guild.toml" >>"$work/submit.log" 2>&1
  sleep 12 # homes are taken, and balanced once instances count as stable
}

used() { awk -v t="$ticks" '{sub(/.*\) /, ""); printf "%.0f\n", ($12 + $13) * 1000 / t}' "/proc/$1/stat"; } # ms

reads() { curl -s "http://127.0.0.1:$base/stats" | sed 's/.*"reads":\([0-9]*\).*/\1/'; }

# observe prints, over the instances, the median (the sum with requests) of the
# processor time in ms per second, the median of resident memory in MB, and reads
# of items per second of the store.
observe() {
  local -a before=() cpu=() rss=() threads=()
  local r0
  r0=$(reads)
  for p in "${instances[@]}"; do before+=("$(used "$p")"); done
  "$@"
  for i in "${!instances[@]}"; do
    p=${instances[$i]}
    cpu+=("$(awk -v a="${before[$i]}" -v b="$(used "$p")" -v s="$seconds" 'BEGIN {printf "%.2f", (b - a) / s}')")
    rss+=("$(awk '/VmRSS/ {printf "%.1f", $2 / 1024}' "/proc/$p/status")")
    threads+=("$(awk '/Threads/ {print $2}' "/proc/$p/status")")
  done
  middle() { printf '%s\n' "$@" | sort -g | awk '{l[NR] = $1} END {print l[int((NR + 1) / 2)]}'; }
  local c
  c=$(middle "${cpu[@]}")
  [[ $kind == requests ]] && c=$(printf '%s\n' "${cpu[@]}" | awk '{x += $1} END {print x}')
  echo "$c | $(middle "${rss[@]}") | $(middle "${threads[@]}") | $((($(reads) - r0) / seconds))"
}

load() { # sends requests on 8 connections until the time is over
  local -a l=()
  for ((i = 0; i < 8; i++)); do
    curl -s -m "$seconds" -o /dev/null -w '%{http_code}\n' -H 'Authorization: Bearer desk' -H "dandelionrock-key: key-$i" \
      "http://127.0.0.1:$((base + 100))/guild/quotes/x?[1-1000000]" >"$work/load-$i" 2>/dev/null &
    l+=($!)
  done
  sleep "$seconds"
  for p in "${l[@]}"; do kill "$p" 2>/dev/null || true; wait "$p" 2>/dev/null || true; done
}

kind=${1:-homes}
(($# > 0)) && shift
case $kind in
homes) echo "| homes of one instance | processor ms/s | memory MB | threads | store items read/s |" ;;
instances) echo "| instances, 4 homes each | processor ms/s | memory MB | threads | store items read/s |" ;;
requests) echo "| instances | processor ms/s, all | memory MB | threads | store items read/s | 200 answers/s |" ;;
esac
for n in "$@"; do
  case $kind in
  homes) launch 1 "$n" ;;
  instances) launch "$n" $((4 * n)) ;;
  requests) launch "$n" 8 ;;
  esac
  if [[ $kind == requests ]]; then
    o=$(observe load)
    echo "| $n | $o | $(($(cat "$work"/load-* | grep -c '^200') / seconds)) |"
  else
    echo "| $n | $(observe sleep "$seconds") |"
  fi
  finish
done
