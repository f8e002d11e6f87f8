#!/usr/bin/env bash
# Measures the processor time, memory and threads of instances and their reads of
# the store: of idle instances against the number of homes of one instance (homes)
# or the number of instances (instances), or of instances under load (requests).
# Prints one table row for each point. All processes run on loopback and are
# stopped by their process ids.
#
#   scripts/capacity.sh [homes N... | instances N... | requests N...]
#
# CAPACITY_SECONDS: length of one measurement; 20 by default.
# CAPACITY_SHARDS: shards of the service; 1024 by default.
set -euo pipefail
cd "$(dirname "$0")/.."

seconds=${CAPACITY_SECONDS:-20}
shards=${CAPACITY_SHARDS:-1024}
base_port=27000
ticks_per_second=$(getconf CLK_TCK)
work=$(mktemp -d)
pids=()

stop_all() {
  for p in "${pids[@]}"; do kill -KILL "$p" 2>/dev/null || true; done
  for p in "${pids[@]}"; do wait "$p" 2>/dev/null || true; done
  pids=()
}
trap 'stop_all; rm -rf "$work"' EXIT

# start LOG COMMAND... starts a process and records its id.
start() {
  "${@:2}" >"$work/$1.log" 2>&1 &
  pids+=($!)
}

# configuration UPSTREAMS prints the configuration of an organisation.
configuration() {
  printf 'organisation = "guild"\n[[services]]\nname = "quotes"\nidempotent = true\nshard-count = %d\nupstreams = [\n' "$shards"
  for ((i = 0; i < $1; i++)); do
    printf '  { name = "quote-%03d", address = "127.0.0.1:%d", region = "hobart", failure-domain = "hobart-a", slots = 2, connections = 130, fencing = "checked" },\n' "$i" $((base_port + 500 + i))
  done
  printf ']\n[[client-accounts]]\nname = "desk"\ncredential-sha256 = "%s"\nservices = ["quotes"]\n' "$(printf desk | sha256sum | cut -d' ' -f1)"
}

# settings NUMBER prints the settings of an instance.
settings() {
  cat <<END
instance-id = "hobart-b-$1"
region = "hobart"
failure-domain = "hobart-b"
http-address = "127.0.0.1:$((base_port + 100 + 2 * $1))"
rpc-address = "127.0.0.1:$((base_port + 101 + 2 * $1))"
[platform]
table-url = "http://127.0.0.1:$base_port"
table-name = "dandelionrock"
instances-url = "http://127.0.0.1:$base_port/instances"
[[operators]]
organisation = "guild"
credential-sha256 = "$(printf operator | sha256sum | cut -d' ' -f1)"
[log]
level = "warn"
END
}

# deploy INSTANCES UPSTREAMS starts the processes and submits the configuration.
deploy() {
  configuration "$2" >"$work/guild.toml"
  local instance_list=""
  for ((i = 0; i < $1; i++)); do
    settings "$i" >"$work/$i.toml"
    instance_list+=$(printf '[[instances]]\ninstance-id = "hobart-b-%d"\nrpc-address = "127.0.0.1:%d"\nstate = "live"\n' "$i" $((base_port + 101 + 2 * i)))$'\n'
  done
  printf '%s' "$instance_list" >"$work/instances.toml"
  start platform bin/standin platform --address "127.0.0.1:$base_port" --instances "$work/instances.toml"
  start upstreams bin/standin upstream --config "$work/guild.toml" --service-time 0s
  sleep 1
  instances=()
  for ((i = 0; i < $1; i++)); do
    start "instance-$i" bin/dandelionrock serve --settings "$work/$i.toml"
    instances+=("${pids[-1]}")
  done
  sleep 2
  DANDELIONROCK_CREDENTIAL=operator bin/dandelionrock submit --instance "http://127.0.0.1:$((base_port + 100))" --based-on 0 --wait "$work/guild.toml" >>"$work/submit.log" 2>&1
  sleep 12 # homes start, and are balanced once the instances count as stable
}

# processor_ms PID prints the processor time that a process has used.
processor_ms() { awk -v t="$ticks_per_second" '{sub(/.*\) /, ""); printf "%.0f\n", ($12 + $13) * 1000 / t}' "/proc/$1/stat"; }

# store_reads prints the number of items read from the store.
store_reads() { curl -s "http://127.0.0.1:$base_port/stats" | sed 's/.*"reads":\([0-9]*\).*/\1/'; }

# measure COMMAND... runs a command that takes the length of a measurement. Of the
# instances, it prints the median processor time in ms per second (with requests,
# the sum), the median resident memory in MB and the median number of threads; of
# the store, the items read per second.
measure() {
  local -a before=() cpu=() rss=() threads=()
  local r0
  r0=$(store_reads)
  for p in "${instances[@]}"; do before+=("$(processor_ms "$p")"); done
  "$@"
  for i in "${!instances[@]}"; do
    p=${instances[$i]}
    cpu+=("$(awk -v a="${before[$i]}" -v b="$(processor_ms "$p")" -v s="$seconds" 'BEGIN {printf "%.2f", (b - a) / s}')")
    rss+=("$(awk '/VmRSS/ {printf "%.1f", $2 / 1024}' "/proc/$p/status")")
    threads+=("$(awk '/Threads/ {print $2}' "/proc/$p/status")")
  done
  median() { printf '%s\n' "$@" | sort -g | awk '{l[NR] = $1} END {print l[int((NR + 1) / 2)]}'; }
  local c
  c=$(median "${cpu[@]}")
  [[ $kind == requests ]] && c=$(printf '%s\n' "${cpu[@]}" | awk '{x += $1} END {print x}')
  echo "$c | $(median "${rss[@]}") | $(median "${threads[@]}") | $((($(store_reads) - r0) / seconds))"
}

# send_load sends requests on 8 connections for the length of a measurement.
send_load() {
  local -a l=()
  for ((i = 0; i < 8; i++)); do
    curl -s -m "$seconds" -o /dev/null -w '%{http_code}\n' -H 'Authorization: Bearer desk' -H "dandelionrock-key: key-$i" \
      "http://127.0.0.1:$((base_port + 100))/guild/quotes/x?[1-1000000]" >"$work/load-$i" 2>/dev/null &
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
  homes) deploy 1 "$n" ;;
  instances) deploy "$n" $((4 * n)) ;;
  requests) deploy "$n" 8 ;;
  esac
  if [[ $kind == requests ]]; then
    o=$(measure send_load)
    echo "| $n | $o | $(($(cat "$work"/load-* | grep -c '^200') / seconds)) |"
  else
    echo "| $n | $(measure sleep "$seconds") |"
  fi
  stop_all
done
