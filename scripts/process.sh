# Functions for scripts that run several processes. Source this file in bash with
# set -euo pipefail.

declare -A pids=()  # process id of each running process, by its name
declare -A codes=() # exit code of each process that has ended, by its name
work=               # directory for logs and generated files

# read_clock sets ms to the Unix time in milliseconds.
read_clock() { ms=$((${EPOCHREALTIME/[.,]/} / 1000)); }

# supervise COMMAND... runs a function in a subshell and exits with its code. A
# signal ends the subshell with SIGTERM. Without the subshell, a SIGINT could be
# lost: bash ignores it if the command that it is waiting for ends normally.
supervise() {
  local s=0 c=0 p
  "$@" &
  p=$!
  trap 's=129; kill -TERM "$p" 2>/dev/null' HUP
  trap 's=130; kill -TERM "$p" 2>/dev/null' INT
  trap 's=143; kill -TERM "$p" 2>/dev/null' TERM
  while kill -0 "$p" 2>/dev/null; do
    c=0
    wait "$p" || c=$?
  done
  exit $((s > 0 ? s : c))
}

# make_work_dir creates the directory and sets traps that stop all processes and
# remove the directory however the script ends.
make_work_dir() {
  work=$(mktemp -d)
  trap finish EXIT
  trap 'exit 129' HUP
  trap 'exit 130' INT
  trap 'exit 143' TERM
}

finish() {
  local p
  trap '' HUP INT TERM
  # A signal can arrive after a process was started and before its id was recorded.
  for p in $(jobs -rp); do
    [[ " ${pids[*]-} " == *" $p "* ]] || pids[unnamed-$p]=$p
  done
  stop "${!pids[@]}"
  rm -rf "$work"
}

# start NAME COMMAND... runs a command in the background and logs its output.
start() {
  local n=$1
  shift
  "$@" >"$work/$n.log" 2>&1 &
  pids[$n]=$!
}

# stop NAME... ends the named processes that run with SIGTERM, and with SIGKILL
# if they still run after 6 s.
stop() {
  local n i l=()
  for n; do [[ -z ${pids[$n]-} ]] || l+=("$n"); done
  set -- "${l[@]}"
  for n; do kill -TERM "${pids[$n]}" 2>/dev/null || true; done
  for ((i = 0; i < 300; i++)); do
    running "$@" || break
    sleep 0.02
  done
  for n; do kill_process "$n"; done
}

# running NAME... reports whether any of the named processes runs.
running() {
  local n
  for n; do kill -0 "${pids[$n]}" 2>/dev/null && return 0; done
  return 1
}

# kill_process NAME ends a process with SIGKILL, unless it has ended, and records
# its exit code in codes.
kill_process() {
  kill -KILL "${pids[$1]}" 2>/dev/null || true
  codes[$1]=0
  wait "${pids[$1]}" 2>/dev/null || codes[$1]=$?
  unset "pids[$1]"
}

# fail CAUSE [NAME] prints the cause and the last lines of a process's log, and
# exits with code 1.
fail() {
  echo "failed: $1" >&2
  if [[ -n ${2-} ]]; then
    echo "last lines of the log of $2:" >&2
    tail -n 20 "$work/$2.log" >&2
  fi
  exit 1
}

# check_running fails if a process has ended that was not stopped by this script.
check_running() {
  local n
  for n in "${!pids[@]}"; do
    running "$n" || fail "$n has ended by itself" "$n"
  done
}

# wait_until SECONDS NAME TEXT COMMAND... repeats a command until it succeeds, and
# fails after a time limit. TEXT is the awaited condition of the named process.
wait_until() {
  local s=$1 n=$2 t=$3 d
  shift 3
  read_clock
  d=$((ms + s * 1000))
  until "$@" >"$work/await.out" 2>&1; do
    check_running
    read_clock
    ((ms < d)) || fail "$t: not within $s s" "$n"
    sleep 0.02
  done
}

# check_free PORT... fails if something listens on one of the loopback ports.
check_free() {
  local p
  for p; do
    if (exec 3<>"/dev/tcp/127.0.0.1/$p") 2>/dev/null; then
      fail "port $p is in use"
    fi
  done
}

# http_get ADDRESS PATH prints the body of an HTTP response; it fails unless the
# status is 200. Its body is a subshell, whose end closes the connection.
http_get() (
  exec 3<>"/dev/tcp/${1%:*}/${1##*:}"
  printf 'GET %s HTTP/1.0\r\nHost: %s\r\n\r\n' "$2" "$1" >&3
  read -t 2 -r line <&3
  [[ $line == *" 200 "* ]] || exit 1
  while read -t 2 -r line <&3 && [[ $line != $'\r' ]]; do :; done
  timeout 2 cat <&3
)

# json_field NAME JSON prints a member of a flat JSON object.
json_field() {
  [[ $2 =~ \"$1\":\"?([^,\"}]*) ]] && printf %s "${BASH_REMATCH[1]}"
}
