# Functions that start and stop a small fleet of stand-ins and entry VMs on this machine.
# Sourced by bin/demo and bin/prove; each process is ended by its own id.
# shellcheck shell=bash

run=$(mktemp -d)
declare -A pids=()
platform=127.0.0.1:18000    # the way of the entry VMs in dc-a
platform_b=127.0.0.1:18001  # the way of the entry VMs in dc-b, cut off on its own
export CHERVILLIFT_CREDENTIAL=demo-credential
export CHERVILLIFT_SERVER=127.0.0.1:18301
credential_sha256=$(printf %s "$CHERVILLIFT_CREDENTIAL" | sha256sum | cut -d' ' -f1)

stop_all() {
  local pid
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  if [ -n "${CHERVILLIFT_KEEP_LOGS:-}" ]; then
    echo "The logs are in $run."
  else
    rm -rf "$run"
  fi
}

fail() {
  echo "FAILED: $*"
  tail -n 5 "$run"/*.log
  exit 1
}

start() { # name, program and arguments
  local name=$1
  shift
  "$@" > "$run/$name.log" 2>&1 &
  pids[$name]=$!
}

wait_for() { # name, text in its log
  local _
  for _ in $(seq 1 200); do
    grep -q "$2" "$run/$1.log" 2>/dev/null && return 0
    sleep 0.1
  done
  fail "$1 did not start"
}

wait_http() { # address, path
  local _
  for _ in $(seq 1 150); do
    curl -fsS -o /dev/null "http://$1$2" 2>/dev/null && return 0
    sleep 0.1
  done
  fail "$1$2 does not answer"
}

start_platform() {
  start platform bin/chervillift-standin platform --listen $platform,$platform_b
  wait_for platform listening
}

start_upstreams() { # eight upstreams of the sample sheet in one process, which share a ledger
  local addresses='' ids='' port=18101 id
  for id in vm-a1 vm-a2 vm-a3 vm-a4 vm-b1 vm-b2 vm-b3 vm-b4; do
    addresses+="127.0.0.1:$port,"
    ids+="$id,"
    port=$((port + 1))
  done
  start upstreams bin/chervillift-standin upstream --listen "${addresses%,}" --id "${ids%,}"
  wait_for upstreams listening
  list_upstreams
}

write_settings() { # number, data centre
  local way=$platform
  [ "$2" = dc-b ] && way=$platform_b
  cat > "$run/entry-$1.ini" <<INI
[vm]
id = entry-$1
data-centre = $2
[callers]
address = 127.0.0.1:1820$1
[control]
address = 127.0.0.1:1830$1
operators = demo:$credential_sha256
[platform]
address = $way
refresh-ms = 250
[report]
save-ms = 1000
[peers]
address = 127.0.0.1:1840$1
secret = the demo secret that all daemons of the demo share
[shutdown]
delay-ms = 200
[limits]
longest-run-ms = 5000
[waves]
settle-ms = 1000
probation-ms = 2000
INI
}

list_entry() { # number, data centre
  local vm="{\"id\":\"entry-$1\",\"role\":\"ENTRY\",\"dataCentre\":\"$2\",\"leaving\":false,"
  vm+="\"address\":\"127.0.0.1:1820$1\",\"peerAddress\":\"127.0.0.1:1840$1\"}"
  curl -fsS -o /dev/null -X PUT "http://$platform/admin/vms" -d "$vm"
}

list_upstreams() { # shows the eight upstreams in the platform's list
  local port=18101 id
  for id in vm-a1 vm-a2 vm-a3 vm-a4 vm-b1 vm-b2 vm-b3 vm-b4; do
    curl -fsS -o /dev/null -X PUT "http://$platform/admin/vms" -d "{\"id\":\"$id\",\"role\":\"UPSTREAM\",
      \"dataCentre\":\"dc-${id:3:1}\",\"leaving\":false,\"address\":\"127.0.0.1:$port\",\"peerAddress\":\"\"}"
    port=$((port + 1))
  done
}

wait_members() { # how many must be alive, as the first entry VM knows them
  local _
  for _ in $(seq 1 100); do
    [ "$(bin/chervillift members | grep -c ' alive ')" = "$1" ] && return 0
    sleep 0.2
  done
  bin/chervillift members
  fail "not all entry VMs hear each other"
}

start_entry() { # number
  start "entry-$1" bin/chervilliftd "$run/entry-$1.ini"
}

start_entries() { # four entry VMs in two data centres
  local n=1 dc
  for dc in dc-a dc-a dc-b dc-b; do
    write_settings $n $dc
    bin/chervilliftd --check "$run/entry-$n.ini" > /dev/null || fail "settings of entry-$n"
    start_entry $n
    list_entry $n $dc
    n=$((n + 1))
  done
  for n in 1 2 3 4; do wait_http "127.0.0.1:1830$n" /health/live; done
}

wait_ready() { # numbers
  local n
  for n in "$@"; do wait_http "127.0.0.1:1830$n" /health/ready; done
}

way_faults() { # way, down, slow in ms, lose replies, lag of the list in ms
  curl -fsS -o /dev/null -X PUT "http://$1/admin/faults" \
    -d "{\"down\":$2,\"slowMillis\":$3,\"loseReplies\":$4,\"listLagMillis\":$5}"
}

platform_faults() { # down, slow in ms, lose replies, lag of the list in ms
  way_faults $platform "$@"
  way_faults $platform_b "$@"
}

upstream_faults() { # port, silent, fail all, cut answers, late in ms
  curl -fsS -o /dev/null -X PUT "http://127.0.0.1:$1/admin/faults" \
    -d "{\"silent\":$2,\"failAll\":$3,\"cutAnswers\":$4,\"lateMillis\":$5}"
}

json_text() { # name of a text field; JSON from standard input
  sed -n "s/.*\"$1\":\"\([^\"]*\)\".*/\1/p"
}

resident() { # label; resident memory of each entry VM's process
  local n kib
  for n in 1 2 3 4; do
    kib=$(sed -n 's/^VmRSS:[^0-9]*\([0-9]*\) kB/\1/p' "/proc/${pids[entry-$n]}/status")
    echo "resident_$1_entry_$n=$((kib / 1024)) MiB"
  done
}
