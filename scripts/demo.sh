#!/usr/bin/env bash
# Runs the stand-in platform, the upstreams of the two sample organisations and
# four instances as separate processes on loopback, sends requests, kills an
# instance and prints how the other instances serve its keys.
#
# DEMO_PORTS: first two digits of the ports; 20 by default, as in examples/.
# DEMO_BIN: directory of the programs; bin by default. DEMO_LIMIT: seconds to wait
# for a process to be ready; 10 by default.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/process.sh

bin=${DEMO_BIN:-bin}
ports=${DEMO_PORTS:-20}
limit=${DEMO_LIMIT:-10}
platform=127.0.0.1:${ports}901
# Upstream of the Guild that runs in a process of its own.
separate_upstream=order-01

# Instances: region, failure domain, ports for HTTP, for other instances and for
# metrics.
declare -A instances=(
  [hobart-a-1]="hobart hobart-a ${ports}001 ${ports}002 ${ports}003"
  [hobart-b-1]="hobart hobart-b ${ports}011 ${ports}012 ${ports}013"
  [fes-a-1]="fes fes-a ${ports}021 ${ports}022 ${ports}023"
  [fes-b-1]="fes fes-b ${ports}031 ${ports}032 ${ports}033"
)
names=(hobart-a-1 hobart-b-1 fes-a-1 fes-b-1)

# Requests: name, credential of the client account, organisation, service,
# method, path, key.
requests=(
  "quote-lookup guild-quotes-demo guild quotes GET /quotes oyster-soup"
  "glossary-lookup guild-glossary-demo guild glossary GET /entries pepperberry"
  "paid-order guild-orders-demo guild orders POST /translations menu-1803"
  "stock-read cooperative-stock-demo cooperative stock GET /levels cord-6mm"
  "bulk-order cooperative-orders-demo cooperative orders POST /orders spool-118"
  "dye-lot-record cooperative-dye-lots-demo cooperative dye-lots PUT /records madder-31"
)

# print_step TEXT... prints a line with the seconds since the start.
print_step() {
  read_clock
  printf '\n[%2d.%03d s] %s\n' $(((ms - started_ms) / 1000)) $(((ms - started_ms) % 1000)) "$*"
}

# url NAME prints the HTTP address of an instance.
url() {
  local a
  read -ra a <<<"${instances[$1]}"
  printf 'http://127.0.0.1:%s' "${a[2]}"
}

# address ORGANISATION UPSTREAM prints the address of an upstream.
address() { sed -n "s/.*name = \"$2\", address = \"\([^\"]*\)\".*/\1/p" "$work/$1.toml"; }

# write_configurations copies the sample configurations and changes their ports as
# DEMO_PORTS says.
write_configurations() {
  local o
  for o in guild cooperative; do
    if [[ $ports == 20 ]]; then
      cp "examples/$o.toml" "$work/$o.toml"
    else
      sed -E "s/\"127\.0\.0\.1:2([12])0([0-9]{2})\"/\"127.0.0.1:$ports\1\2\"/" "examples/$o.toml" >"$work/$o.toml"
    fi
  done
  grep -v "name = \"$separate_upstream\"" "$work/guild.toml" >"$work/guild-upstreams.toml"
  cp "$work/cooperative.toml" "$work/cooperative-upstreams.toml"
}

# write_settings NAME writes the settings of an instance, from the sample.
write_settings() {
  local a
  read -ra a <<<"${instances[$1]}"
  sed -e "s|^instance-id = .*|instance-id = \"$1\"|" \
    -e "s|^region = .*|region = \"${a[0]}\"|" \
    -e "s|^failure-domain = .*|failure-domain = \"${a[1]}\"|" \
    -e "s|^http-address = .*|http-address = \"127.0.0.1:${a[2]}\"|" \
    -e "s|^rpc-address = .*|rpc-address = \"127.0.0.1:${a[3]}\"|" \
    -e "s|^metrics-address = .*|metrics-address = \"127.0.0.1:${a[4]}\"|" \
    -e "s|^table-url = .*|table-url = \"http://$platform\"|" \
    -e "s|^instances-url = .*|instances-url = \"http://$platform/instances\"|" \
    examples/instance.toml >"$work/$1.toml"
}

# write_instance_list registers the instances in the platform's list.
write_instance_list() {
  local n a
  for n in "${names[@]}"; do
    read -ra a <<<"${instances[$n]}"
    printf '[[instances]]\ninstance-id = "%s"\nregion = "%s"\nfailure-domain = "%s"\n' "$n" "${a[0]}" "${a[1]}"
    printf 'http-address = "127.0.0.1:%s"\nrpc-address = "127.0.0.1:%s"\nstate = "live"\n' "${a[2]}" "${a[3]}"
  done >"$work/instances.toml"
}

check_ports() {
  local n a p=("${platform##*:}")
  for n in "${names[@]}"; do
    read -ra a <<<"${instances[$n]}"
    p+=("${a[@]:2}")
  done
  mapfile -t -O "${#p[@]}" p < <(sed -n 's/.*address = "127\.0\.0\.1:\([0-9]*\)".*/\1/p' "$work/guild.toml" "$work/cooperative.toml")
  check_free "${p[@]}"
}

start_stand_ins() {
  local o
  start platform "$bin/standin" platform --address "$platform" --instances "$work/instances.toml"
  for o in guild cooperative; do
    start "$o-upstreams" "$bin/standin" upstream --config "$work/$o-upstreams.toml" --drain-time 50ms
  done
  start "$separate_upstream" "$bin/standin" upstream --name "$separate_upstream" --address "$(address guild "$separate_upstream")" \
    --region hobart --failure-domain hobart-a --fencing checked --drain-time 50ms
  wait_until "$limit" platform "the platform lists the instances" http_get "$platform" /instances
  for o in guild/quote-01/guild-upstreams cooperative/stock-01/cooperative-upstreams "guild/$separate_upstream/$separate_upstream"; do
    IFS=/ read -r o u n <<<"$o"
    wait_until "$limit" "$n" "upstream $u is healthy" http_get "$(address "$o" "$u")" /health
  done
}

start_instances() {
  local n u
  for n in "${names[@]}"; do
    write_settings "$n"
    start "$n" "$bin/dandelionrock" serve --settings "$work/$n.toml"
  done
  for n in "${names[@]}"; do
    u=$(url "$n")
    wait_until "$limit" "$n" "instance $n is ready" http_get "${u#http://}" /readyz
    wait_until "$limit" "$n" "instance $n hears from the others" hears_from_others "$n"
  done
}

# hears_from_others NAME reports whether an instance hears from all others. submit
# --wait waits only for instances that it hears from.
hears_from_others() {
  local n
  n=$(DANDELIONROCK_CREDENTIAL=guild-operator-demo "$bin/dandelionrock" status --instance "$(url "$1")" | grep -c ' live ')
  ((n == ${#names[@]} - 1))
}

submit() {
  local o
  for o in guild cooperative; do
    DANDELIONROCK_CREDENTIAL=$o-operator-demo "$bin/dandelionrock" submit --instance "$(url "${names[0]}")" \
      --wait --wait-limit "${limit}s" "$work/$o.toml" || fail "submit of $o" "${names[0]}"
  done
}

# call NUMBER OPTIONS... sends a request and sets json and text to its result.
call() {
  local r out
  read -ra r <<<"${requests[$1]}"
  shift
  out=$(DANDELIONROCK_CREDENTIAL=${r[1]} "$bin/standin" call --text --organisation "${r[2]}" --service "${r[3]}" \
    --method "${r[4]}" --path "${r[5]}" --key "${r[6]}" "$@" 2>>"$work/call.log") || true
  [[ -n $out ]] || fail "the call of ${r[0]} printed no result" call
  json=${out%%$'\n'*} text=${out#*$'\n'}
}

# send_all sends the requests to the instances in turn and records the results.
send_all() {
  local i n o
  for i in "${!requests[@]}"; do
    n=${names[i % ${#names[@]}]} o=()
    [[ ${requests[i]} != *" POST "* ]] || o=(--order-id auto)
    call "$i" --url "$(url "$n")" --retry-for "${limit}s" --body "demo" "${o[@]}"
    [[ $(json_field outcome "$json") == answered ]] || fail "${requests[i]%% *} through $n: $text" "$n"
    results[i]=$json
    ((i > 0)) || first_answer_ms=$(json_field ended-ms "$json")
    printf '%-16s%s\n' "${requests[i]%% *}" "$text"
  done
}

# home_of_most_keys prints the instance that is home of most of the requests' keys.
home_of_most_keys() {
  local r
  for r in "${results[@]}"; do
    json_field home "$r"
    echo
  done | sort | uniq -c | sort -rn | awk 'NR == 1 { print $2 }'
}

# repeat_order NAME repeats the paid order through an instance and counts its
# runs at all upstreams.
repeat_order() {
  local id s=0 n u
  id=$(json_field order-id "${results[2]}")
  call 2 --url "$(url "$1")" --order-id "$id" --attempt 2 --body "demo"
  printf '%-16s%s\n' paid-order "$text"
  if [[ $(json_field reason "$json") == order-record-lost ]]; then
    echo "the record of the order was lost with its home, so that the order is not run again"
  fi
  for u in $(sed -n 's/.*name = "\(order-[0-9]*\)".*/\1/p' "$work/guild.toml"); do
    n=$(http_get "$(address guild "$u")" /runs) || fail "GET /runs of $u" guild-upstreams
    n=$(json_field "$id" "$n") || continue
    echo "GET /runs of $u: order $id ran $n time(s)"
    s=$((s + n))
  done
  ((s == 1)) || fail "the order ran $s times" "$(json_field entry "$json")"
}

# kill_home kills the instance in victim and at once reads each key through the
# others.
kill_home() {
  local i n p=() u=()
  for n in "${names[@]}"; do
    [[ $n == "$victim" ]] || u+=(--url "$(url "$n")")
  done
  read_clock
  killed_ms=$ms
  kill_process "$victim"
  for i in "${!requests[@]}"; do
    { call "$i" "${u[@]}" --method GET --retry-for "${limit}s" && echo "$json" >"$work/after-$i"; } &
    p+=($!)
    u=("${u[@]:2}" "${u[@]:0:2}")
  done
  for i in "${p[@]}"; do wait "$i" || fail "a read after the loss of $victim" call; done
}

print_gaps() {
  local i a b g max=0 f='%-12s %-9s %-12s %-11s %5s  %-12s %-12s %-12s %s\n'
  # shellcheck disable=SC2059
  printf "$f" organisation service key upstream epoch "home before" "home after" entry gap
  for i in "${!requests[@]}"; do
    b=${results[i]} a=$(<"$work/after-$i")
    [[ $(json_field outcome "$a") == answered ]] || fail "no answer after the loss of $victim: $a" "$(json_field entry "$a")"
    g=$(($(json_field ended-ms "$a") - killed_ms))
    ((g <= max)) || max=$g
    # shellcheck disable=SC2059
    printf "$f" "$(json_field organisation "$a")" "$(json_field service "$a")" "$(json_field key "$a")" "$(json_field upstream "$a")" \
      "$(json_field epoch "$a")" "$(json_field home "$b")" "$(json_field home "$a")" "$(json_field entry "$a")" "$g ms"
  done
  echo "longest gap from the kill to an answer: $max ms"
}

# print_state prints the status of an instance and the end of the timeline.
print_state() {
  local n o=()
  for n in "${names[@]}"; do
    [[ $n == "$victim" ]] || o+=(--instance "$(url "$n")")
  done
  print_step "status of $survivor, as an operator of the Guild sees it"
  DANDELIONROCK_CREDENTIAL=guild-operator-demo "$bin/dandelionrock" status --instance "$(url "$survivor")" >"$work/status" || fail "status" "$survivor"
  awk '/^HOME/ { h = NR } !h || NR <= h + 8 { print } END { if (NR > h + 8) print "and " NR - h - 8 " more homes" }' "$work/status"
  print_step "last events of the instances that run, as an operator of the Guild sees them"
  DANDELIONROCK_CREDENTIAL=guild-operator-demo "$bin/dandelionrock" timeline "${o[@]}" >"$work/timeline" || fail "timeline" "$survivor"
  tail -n 12 "$work/timeline"
}

# stop_instances ends all running instances at the same time.
stop_instances() {
  local n
  stop "${names[@]}"
  for n in "${names[@]}"; do
    [[ $n == "$victim" || ${codes[$n]} == 0 ]] || fail "$n ended with exit code ${codes[$n]}" "$n"
  done
  echo "the other instances ended with exit code 0"
}

# demo runs all steps.
demo() {
  make_work_dir
  read_clock
  started_ms=$ms
  results=()
  write_configurations
  write_instance_list
  check_ports
  start_stand_ins
  print_step "the platform and the upstreams run in ${#pids[@]} processes"
  start_instances
  print_step "${#names[@]} instances are ready and hear from one another"
  submit
  print_step "requests of six client accounts"
  send_all
  echo "first request answered $((first_answer_ms - started_ms)) ms after the start of this script"
  victim=$(home_of_most_keys)
  for survivor in "${names[@]}"; do [[ $survivor == "$victim" ]] || break; done
  print_step "the paid order again through ${names[3]}, with the same order id"
  repeat_order "${names[3]}"
  print_step "SIGKILL for $victim, then a read of each key through the others"
  kill_home
  print_gaps
  print_step "the paid order again through $survivor, with the same order id"
  repeat_order "$survivor"
  print_state
  print_step "SIGTERM for the other instances"
  stop_instances
  finish
  print_step "done"
}

supervise demo
