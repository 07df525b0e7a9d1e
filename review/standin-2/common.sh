# What the scripts of the cases share: a folder, free ports, and the end of all processes that were started.
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
tools=$root/review/standin-2
standin=$root/target/review/standin-2
edge=$root/target/release/pimento-edge
trouble=${TROUBLE:-1}
export NAMES=$tools/names.txt
[ -x "$standin" ] && [ -x "$edge" ] || { echo "not built"; exit 2; }
record=$PWD/record.txt
: >"$record"
work=$(mktemp -d)
pids=()
finish() {
    for pid in "${pids[@]}"; do
        # One that has ended may have left its id to a process that isn't ours.
        grep -qs "^PPid:[[:space:]]*$$\$" "/proc/$pid/status" || continue
        kill -CONT "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null
        wait "$pid" 2>/dev/null
    done
    rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' INT TERM
port=$((20000 + RANDOM % 10000))
store=127.0.0.1:$port

# say TEXT: a line of the record
say() { echo "$(date +%s%3N) $*" >>"$record"; }

# begin COMMAND...: a process that ends with the script; its id is in $begun
begin() {
    "$@" &
    begun=$!
    pids+=("$begun")
}

# entry ADDRESS ZONE VERSION: the registration of a replica
entry() {
    echo "{\"service\":\"llm\",\"address\":\"$1\",\"zone\":\"$2\",\"version\":\"$3\",\"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0,\"phase\":\"both\",\"models\":[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}],\"sequence\":4,\"born\":BORN}"
}

# machine NAME IP ZONE: starts the program of one machine; its process id is in $begun
machine() {
    sed -e "s/NODEIP/$2/g; s/NODE/$1/; s/ZONE/$3/; s/FRONT/$((port + 1))/; s/READY/$((port + 2))/" \
        -e "s/FIRST/$((port + 10))/; s/LAST/$((port + 25))/; s/STORE/$store/" \
        "$tools/settings.json" >"$work/$1.json"
    PIMENTOBARROW_NODE_FILE=$work/$1.json begin "$edge" >"$work/$1.log" 2>&1
}

# ready IP: waits until a machine says that it is ready
ready() {
    [ "$SECONDS" -lt 40 ] || { echo "not ready in time"; exit 2; }
    "$standin" ready "$1:$((port + 2))" 20 || { echo "not ready"; exit 2; }
}
