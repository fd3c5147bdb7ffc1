# Functions that start and stop the processes of a small deployment on
# 127.0.0.1, for the demonstration and for tests with real processes. Source it,
# then:
#   cluster_init BUILD BASE_PORT
#   start_table; start_entry N; start_guard N; start_backend N SPEED [ARGS...]
# PIDS holds the process id of each started process by name. On exit
# cluster_abort kills the processes that are left and removes the files.

declare -A PIDS=()

cluster_init() {
  BUILD=$1
  BASE=$2
  DIR=$(mktemp -d)
  TABLE_URL="http://127.0.0.1:$BASE"
  SHARED_KEY="demonstration-key-0123456789"
  OPERATOR_TOKEN="operator-token-0123456789"
  export CACTUSMAST_TOKEN=$OPERATOR_TOKEN
  trap cluster_abort EXIT
}

cluster_abort() {
  local pid
  for pid in "${PIDS[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  rm -rf "$DIR"
}

entry_url() { echo "http://127.0.0.1:$((BASE + 10 + $1))"; }
guard_url() { echo "http://127.0.0.1:$((BASE + 200 + $1))"; }
backend_url() { echo "http://127.0.0.1:$((BASE + 400 + $1))"; }

run_process() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$DIR/$name.out" 2>"$DIR/$name.log" &
  PIDS[$name]=$!
}

start_table() {
  run_process table "$BUILD/platform-table" --listen="127.0.0.1:$BASE" "$@"
}

common_settings() { # ROLE NAME LISTEN HTTP
  cat <<EOF
role: $1
name: $2
listen: 127.0.0.1:$3
http: 127.0.0.1:$4
data_center: ${DATA_CENTER:-leicester}
table_url: $TABLE_URL
shared_key: $SHARED_KEY
drain_timeout_ms: 20000
seed_entries: [127.0.0.1:$((BASE + 101)), 127.0.0.1:$((BASE + 102))]
${COMMON_EXTRA:-}
EOF
}

start_entry() { # N
  local name="entry-$1"
  {
    common_settings entry "$name" $((BASE + 100 + $1)) $((BASE + 10 + $1))
    echo "operator_tokens: { alice: $OPERATOR_TOKEN }"
    echo "${ENTRY_EXTRA:-}"
  } >"$DIR/$name.yaml"
  run_process "$name" "$BUILD/cactusmast-entry" --settings="$DIR/$name.yaml"
}

start_guard() { # N
  local name="guard-$1"
  common_settings guard "$name" $((BASE + 300 + $1)) $((BASE + 200 + $1)) \
    >"$DIR/$name.yaml"
  run_process "$name" "$BUILD/cactusmast-guard" --settings="$DIR/$name.yaml"
}

start_backend() { # N SPEED [ARGS...]
  local n=$1 speed=$2
  shift 2
  run_process "backend-$n" "$BUILD/backend-server" \
    --listen="127.0.0.1:$((BASE + 400 + n))" --guard="$(guard_url "$n")" \
    --services=ordering,dispatch --speed="$speed" \
    --record="$DIR/starts-$n" "$@"
}

wait_for() { # SECONDS COMMAND...: retries the command until it succeeds
  local until=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    if [ "$SECONDS" -ge "$until" ]; then
      echo "timed out waiting for: $*" >&2
      return 1
    fi
    sleep 0.1
  done
}

cli() { # ENTRY_NUMBER ARGUMENTS...
  local n=$1
  shift
  "$BUILD/cactusmast" --entry="$(entry_url "$n")" "$@"
}

json_field() { # EXPRESSION, JSON on standard input
  python3 -c "import json,sys; d=json.load(sys.stdin); print($1)"
}

workers_ready() { # COUNT: the largest shard has exactly COUNT workers
  cli 1 status --json |
    json_field "max(s['workers'] for s in d['shards'])" | grep -qx "$1"
}

metric() { # URL NAME
  curl -s "$1/metrics" | awk -v name="$2" '$1 == name { print $2 + 0 }'
}

stop_process() { # NAME: drains the process and returns its exit code
  local pid=${PIDS[$1]}
  kill -TERM "$pid" 2>/dev/null || true
  local code=0
  wait "$pid" || code=$?
  unset "PIDS[$1]"
  return "$code"
}
