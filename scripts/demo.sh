#!/bin/sh
# Starts a small cluster on loopback, sends requests through it, stops one
# endpoint gracefully, kills another, and ends.  KEEP=1 leaves it running.
# DEMO_PORT is the first of about forty ports that it uses.
set -eu
cd "$(dirname "$0")/.."

bin=$PWD/build/release
dir=$PWD/build/demo
port=${DEMO_PORT:-18400}
ip=127.0.0.1
key=demo-key
pids=$dir/pids

fail () {
	echo "demo: FAILED: $*" >&2
	echo "demo: the logs are in build/demo" >&2
	exit 1
}

stop_all () {
	sh scripts/demo-stop.sh >/dev/null
}

start () {
	name=$1
	shift
	"$@" >"$dir/$name.log" 2>&1 &
	echo "$! $name" >>"$pids"
}

pid_of () {
	awk -v name="$1" '$2 == name { print $1 }' "$pids"
}

wait_for () {
	message=$1
	shift
	tries=0
	until "$@" >/dev/null 2>&1
	do
		tries=$((tries + 1))
		test $tries -lt 150 || fail "$message"
		sleep 0.1
	done
}

control_instances () {
	for n in 1 2 3
	do
		echo "$1- instance: entry-$n"
		echo "$1  address: $ip:$((port + n * 4))"
	done
}

common_settings () {
	cat <<EOF
instance: $1
failure_domain: $2
region: nordeste
cluster_key_file: $dir/cluster.key
log_level: info
trace_file: $dir/$1.trace
metrics_listen: $ip:$3
control_instances:
$(control_instances '  ')
EOF
}

write_entry () {
	base=$((port + $1 * 4))
	mkdir -p "$dir/data-$1"
	{
		common_settings "entry-$1" "$2" $((base + 2))
		cat <<EOF
roles: [entry, control]
entry:
  http_listen: $ip:$((port + 40 + $1))
control:
  listen: $ip:$base
  admin_listen: $ip:$((base + 1))
  admin_token_file: $dir/admin.token
  data_dir: $dir/data-$1
  bootstrap_preset_file: $dir/everyday.yaml
  voters:
$(control_instances '    ')
EOF
	} >"$dir/entry-$1.yaml"
}

write_agent () {
	name=$1
	{
		common_settings "agent-$name" "$2" $(($3 + 2))
		cat <<EOF
roles: [agent]
agent:
  listen: $ip:$3
  endpoints:
    - name: $name
      kind: $4
      target: $5
EOF
		if test "$4" = model
		then
			echo "      first_layer: $6"
			echo "      end_layer: $7"
		fi
		cat <<EOF
      accelerator: $8
      url: http://$ip:$(($3 + 1))
      slots: 64
EOF
	} >"$dir/agent-$name.yaml"
}

write_preset () {
	hash=$(printf %s "$key" | b2sum -l 256 | cut -d' ' -f1)
	cat >"$dir/$1.yaml" <<EOF
name: $1
models:
  - name: modelo
    layers: 12
    max_tokens: 512
services:
  - name: pedidos
    idempotent_methods: []
contracts:
  - customer: recife
    api_key_hash: $hash
    priority: 1
    guarantee_sessions: 20
    deserved_sessions: 50
    capability_sessions: 100
limits:
  queue_length: 100
  queue_ms: 5000
  request_ms: 60000
  retry_percent: 20
  weight_bytes_per_s: 1000000
  ledger_retention_ms: 600000
recovery: $2
EOF
}

start_endpoint () {
	base=$(($2 + 1))
	if test "$3" = model
	then
		start "engine-$1" "$bin/fake_engine" --layers 12 \
			--first-layer "$4" --end-layer "$5" --step-us "$6" \
			--journal "$dir/$1.journal" --listen "$ip:$base"
	else
		start "service-$1" "$bin/fake_service" \
			--journal "$dir/$1.journal" --listen "$ip:$base"
	fi
	start "agent-$1" "$bin/wisteriad" --config "$dir/agent-$1.yaml"
}

send_prompt () {
	curl -sSN --max-time 30 -H "Authorization: Bearer $key" \
		-H 'Content-Type: application/json' \
		-d "{\"model\":\"modelo\",\"prompt\":\"$2\",\"max_tokens\":$3,\"stream\":$4}" \
		"http://$ip:$((port + 40 + $1))/v1/completions"
}

is_answering () {
	send_prompt "$1" "ready?" 4 false | grep -q '"choices"'
}

text_of () {
	sed -n 's/^data: .*"text":"\([^"]*\)".*/\1/p' "$1" | tr -d '\n'
}

id_of () {
	sed -n 's/^data: {"id":"\([^"]*\)".*/\1/p' "$1" | head -n 1
}

# Prints the first endpoint of range $1 that is not idle.
busy_endpoint () {
	ctl $((port + 5)) endpoint list |
		awk -v range="^$1-" '$1 ~ range && $7 > 0 { print $1; exit }'
}

range_is_idle () {
	test -z "$(busy_endpoint "$1")"
}

# Prints the chain of request $2, from the explanation of entry $1.
show_chain () {
	ctl $((port + 40 + $1)) explain "$2" | grep 'was chosen' ||
		fail "no explanation of $2"
}

ctl () {
	server=$1
	shift
	"$bin/wisteriactl" --server "$ip:$server" \
		--token-file "$dir/admin.token" "$@"
}

stop_all
rm -rf "$dir"
mkdir -p "$dir"
trap 'test -n "${KEEP:-}" || stop_all' EXIT
head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$dir/cluster.key"
head -c 16 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$dir/admin.token"
chmod 600 "$dir/cluster.key" "$dir/admin.token"
write_preset everyday replay
write_preset peak replay

echo "== starting 3 entry instances, 6 endpoints of a model, 2 of a service"
write_entry 1 recife
write_entry 2 jaboatao
write_entry 3 olinda
for n in 1 2 3
do
	start "entry-$n" "$bin/wisteriad" --config "$dir/entry-$n.yaml"
done
agent_port=$((port + 50))
for spec in 'first-a recife 0 4 fast 20000' 'first-b jaboatao 0 4 slow 40000' \
	'middle-a recife 4 8 fast 20000' 'middle-b olinda 4 8 slow 40000' \
	'last-a jaboatao 8 12 fast 20000' 'last-b olinda 8 12 slow 40000'
do
	# shellcheck disable=SC2086
	set -- $spec
	write_agent "$1" "$2" $agent_port model modelo "$3" "$4" "$5"
	start_endpoint "$1" $agent_port model "$3" "$4" "$6"
	agent_port=$((agent_port + 3))
done
for spec in 'orders-a recife' 'orders-b olinda'
do
	# shellcheck disable=SC2086
	set -- $spec
	write_agent "$1" "$2" $agent_port service pedidos 0 0 cpu
	start_endpoint "$1" $agent_port service
	agent_port=$((agent_port + 3))
done
for n in 1 2 3
do
	wait_for "entry-$n does not answer" is_answering $n
done

echo "== a whole answer"
send_prompt 1 "Quote for 200 M8 bolts" 12 false >"$dir/whole.json"
cat "$dir/whole.json"
echo
show_chain 1 "$(sed -n 's/^{"id":"\([^"]*\)".*/\1/p' "$dir/whole.json")"
echo "== a call to the plain service, twice with one Idempotency-Key"
for n in 1 2
do
	curl -sS --max-time 10 -H "Authorization: Bearer $key" \
		-H 'Idempotency-Key: pallet-7' -d 'book pallet 7' \
		"http://$ip:$((port + 41))/services/pedidos/bookings"
	echo
done

send_prompt 2 "Summarise the counter order" 60 true >"$dir/expected.sse"
expected=$(text_of "$dir/expected.sse")
test -n "$expected" || fail "no streamed answer"
grep -q '^data: \[DONE\]' "$dir/expected.sse" || fail "the stream did not end"

# Sets $served to the endpoint of range $3 that serves the stream that entry $1
# writes to file $2, as the entry explains it.
is_explained () {
	request=$(id_of "$2")
	test -n "$request" || return 1
	served=$(ctl $((port + 40 + $1)) explain "$request" |
		grep 'was chosen' | grep -o "$3-[a-z]*" | head -n 1)
	test -n "$served"
}

# Starts a stream through entry $1 that writes to file $2.  Sets $served to the
# endpoint of range $3 that serves it, and $stream to the id of its process.
start_stream () {
	wait_for "range $3 does not fall idle" range_is_idle "$3"
	send_prompt "$1" "Summarise the counter order" 60 true >"$2" &
	stream=$!
	wait_for "the stream is not explained" is_explained "$1" "$2" "$3"
	kill -0 "$stream" 2>/dev/null || fail "the stream ended too early"
}

check_stream () {
	wait "$stream"
	test "$(text_of "$1")" = "$expected" || fail "an answer was cut"
	echo "the answer is whole: $(text_of "$1" | cut -c1-60)..."
}

start_stream 2 "$dir/planned.sse" first
echo "== a planned stop of $served while it serves a stream"
kill "$(pid_of "agent-$served")"
check_stream "$dir/planned.sse"
show_chain 2 "$(id_of "$dir/planned.sse")"

start_stream 3 "$dir/killed.sse" middle
echo "== $served is killed while it serves a stream"
kill -9 "$(pid_of "agent-$served")" "$(pid_of "engine-$served")"
check_stream "$dir/killed.sse"
ctl $((port + 43)) explain "$(id_of "$dir/killed.sse")" |
	grep -q "$served was lost" || fail "the kill went unnoticed"

echo "== why the killed one went as it did, in words"
ctl $((port + 43)) explain "$(id_of "$dir/killed.sse")"

echo "== an operator puts another preset in force and lets an endpoint leave"
ctl $((port + 5)) preset create "$dir/peak.yaml"
ctl $((port + 9)) preset use peak
ctl $((port + 13)) endpoint leave orders-a
ctl $((port + 5)) endpoint list
ctl $((port + 5)) config history

if test -n "${KEEP:-}"
then
	echo "demo: running; entries are at $ip:$((port + 41)) to $((port + 43))"
	echo "demo: the API key is $key, the operator's token is in build/demo/admin.token"
	echo "demo: stop it with: sh scripts/demo-stop.sh"
	exit 0
fi
echo "demo: done"
