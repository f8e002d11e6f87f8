#!/usr/bin/env bash
# Prints one JSON line for each figure of docs/MEASURES.md. All processes run on
# loopback and are stopped by their process ids.
#
#   scripts/bench.sh [--seed N] [--figures NAME,...]
#
# BENCH_BIN: directory of the programs; bin by default. BENCH_KEEP=1 keeps the
# logs.
set -euo pipefail
cd "$(dirname "$0")/.."

bin=${BENCH_BIN:-bin}
seed=${SEED:-1}
figures=${FIGURES:-}
while (($# > 0)); do
  case $1 in
  --seed) seed=$2 && shift 2 ;;
  --figures) figures=$2 && shift 2 ;;
  *) echo "unknown argument $1" >&2 && exit 2 ;;
  esac
done

work=$(mktemp -d)
declare -A pids=()     # process id by name
declare -A commands=() # command line by name

# finish stops all processes and removes their files.
finish() {
  trap '' HUP INT TERM
  stop_all KILL
  if [[ -n ${BENCH_KEEP-} ]]; then echo "logs: $work" >&2; else rm -rf "$work"; fi
}
trap finish EXIT
trap 'exit 129' HUP
trap 'exit 130' INT
trap 'exit 143' TERM

# start DIRECTORY NAME starts a process and records its id.
start() {
  local c
  read -ra c <<<"${commands[$2]}"
  "$bin/${c[0]}" "${c[@]:1}" >>"$1/$2.log" 2>&1 &
  pids[$2]=$!
  # Keeps bash from reporting the processes that an experiment kills.
  disown "$!"
  echo "$!" >"$1/pids/$2"
}

# wait_ended PID waits until a process has ended.
wait_ended() {
  while kill -0 "$1" 2>/dev/null; do sleep 0.02; done
}

# stop_all SIGNAL ends all processes and waits for them.
stop_all() {
  local n
  for n in "${!pids[@]}"; do kill "-$1" "${pids[$n]}" 2>/dev/null || true; done
  for n in "${!pids[@]}"; do wait_ended "${pids[$n]}"; done
  pids=()
}

# start_all DIRECTORY starts the processes of a deployment in the listed order.
start_all() {
  local n c
  mkdir -p "$1/pids" "$1/restart"
  while read -r n c; do
    commands[$n]=$c
    start "$1" "$n"
    # The platform must serve before the instances read it.
    [[ $n != platform ]] || sleep 0.3
  done <"$1/processes"
}

# restart_ended DIRECTORY restarts the processes that an experiment has ended.
restart_ended() {
  local f n
  for f in "$1"/restart/*; do
    [[ -e $f ]] || continue
    n=${f##*/}
    wait_ended "${pids[$n]}"
    rm "$f"
    start "$1" "$n"
  done
}

# supervise DIRECTORY COMMAND... runs an experiment, and restarts the processes
# that it ends.
supervise() {
  local d=$1 p
  shift
  "$@" &
  p=$!
  pids[experiment]=$p
  while kill -0 "$p" 2>/dev/null; do
    restart_ended "$d"
    sleep 0.1
  done
  unset 'pids[experiment]'
  wait "$p"
}

# Processes of another run would answer instead of those started here.
for p in 25000 25010 25011 25100 25400 25500; do
  if (exec 3<>"/dev/tcp/127.0.0.1/$p") 2>/dev/null; then
    echo "port $p is in use" >&2
    exit 1
  fi
done

failed=0
for e in $("$bin/bench" experiments --figures "$figures"); do
  flags=(--seed "$seed" --figures "$figures" --counts "$work/counts" --dir "$work/$e")
  mkdir -p "$work/$e"
  if [[ $e == overload && -n ${BENCH_KEEP-} ]]; then flags+=(--requests "$work/$e/requests"); fi
  if [[ $e == balance ]]; then
    "$bin/bench" balance "${flags[@]}" || failed=1
    continue
  fi
  "$bin/bench" setup --dir "$work/$e" "$e"
  start_all "$work/$e"
  if "$bin/bench" wait --dir "$work/$e"; then
    supervise "$work/$e" "$bin/bench" "$e" "${flags[@]}" || failed=1
  else
    failed=1
  fi
  stop_all KILL
  commands=()
done
"$bin/bench" counts --seed "$seed" --figures "$figures" "$work/counts"
exit "$failed"
