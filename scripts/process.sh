# Functions for scripts that run several processes. To be sourced by bash with
# set -euo pipefail.

declare -A pids=()  # process id of each running process, by its name
declare -A codes=() # exit code of each process that has ended, by its name
work=               # directory for logs and generated files

# now sets ms to the Unix time in milliseconds.
now() { ms=$((${EPOCHREALTIME/[.,]/} / 1000)); }

# supervise COMMAND... runs a function in a subshell and exits with its code. A
# signal ends the subshell with SIGTERM. Without it, a SIGINT could be lost: bash
# drops it if the command that it waits for at that moment ends normally.
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

# open_work makes the directory and arranges that everything is stopped and
# removed however the script ends.
open_work() {
  work=$(mktemp -d)
  trap finish EXIT
  trap 'exit 129' HUP
  trap 'exit 130' INT
  trap 'exit 143' TERM
}

finish() {
  local p
  trap '' HUP INT TERM
  # A signal can come between the start of a process and the record of its id.
  for p in $(jobs -rp); do
    [[ " ${pids[*]-} " == *" $p "* ]] || pids[unnamed-$p]=$p
  done
  stop "${!pids[@]}"
  rm -rf "$work"
}

# start NAME COMMAND... runs a command in the background, its output in a log.
start() {
  local n=$1
  shift
  "$@" >"$work/$n.log" 2>&1 &
  pids[$n]=$!
}

# stop NAME... ends those of the processes that run with SIGTERM, and after 6 s
# with SIGKILL.
stop() {
  local n i l=()
  for n; do [[ -z ${pids[$n]-} ]] || l+=("$n"); done
  set -- "${l[@]}"
  for n; do kill -TERM "${pids[$n]}" 2>/dev/null || true; done
  for ((i = 0; i < 300; i++)); do
    running "$@" || break
    sleep 0.02
  done
  for n; do destroy "$n"; done
}

# running reports whether any of the named processes runs.
running() {
  local n
  for n; do kill -0 "${pids[$n]}" 2>/dev/null && return 0; done
  return 1
}

# destroy NAME ends a process with SIGKILL, unless it has ended, and keeps its
# exit code in codes.
destroy() {
  kill -KILL "${pids[$1]}" 2>/dev/null || true
  codes[$1]=0
  wait "${pids[$1]}" 2>/dev/null || codes[$1]=$?
  unset "pids[$1]"
}

# fail CAUSE [NAME] exits with the cause and the last lines of a process's log.
fail() {
  echo "failed: $1" >&2
  if [[ -n ${2-} ]]; then
    echo "last lines of the log of $2:" >&2
    tail -n 20 "$work/$2.log" >&2
  fi
  exit 1
}

# alive fails if a process has ended that was started and not stopped.
alive() {
  local n
  for n in "${!pids[@]}"; do
    running "$n" || fail "$n has ended by itself" "$n"
  done
}

# await SECONDS NAME TEXT COMMAND... repeats the command until it succeeds. TEXT
# says what is awaited from the process of this name.
await() {
  local s=$1 n=$2 t=$3 d
  shift 3
  now
  d=$((ms + s * 1000))
  until "$@" >"$work/await.out" 2>&1; do
    alive
    now
    ((ms < d)) || fail "$t: not within $s s" "$n"
    sleep 0.02
  done
}

# free PORT... fails if something listens on one of the loopback ports.
free() {
  local p
  for p; do
    if (exec 3<>"/dev/tcp/127.0.0.1/$p") 2>/dev/null; then
      fail "port $p is in use"
    fi
  done
}

# get ADDRESS PATH prints the body of an HTTP answer; it fails unless the status
# is 200. The subshell closes the connection.
get() (
  exec 3<>"/dev/tcp/${1%:*}/${1##*:}"
  printf 'GET %s HTTP/1.0\r\nHost: %s\r\n\r\n' "$2" "$1" >&3
  read -t 2 -r line <&3
  [[ $line == *" 200 "* ]] || exit 1
  while read -t 2 -r line <&3 && [[ $line != $'\r' ]]; do :; done
  timeout 2 cat <&3
)

# field NAME JSON prints a member of a flat JSON object.
field() {
  [[ $2 =~ \"$1\":\"?([^,\"}]*) ]] && printf %s "${BASH_REMATCH[1]}"
}
