#!/usr/bin/env bash
# Start a local system with fake servers, send requests, print the responses, stop.
# KEEP=1 keeps it running until Ctrl-C.
set -u
cd "$(dirname "$0")/.."
bin=build/release/bin
net=${NET:-127.77.0}
dir=$(mktemp -d)
pids=()

stop() {
	for p in "${pids[@]}"; do kill "$p" 2>/dev/null; done
	for p in "${pids[@]}"; do wait "$p" 2>/dev/null; done
	rm -rf "$dir"
}
trap stop EXIT
trap 'exit 130' INT TERM

die() {
	echo "run: $*" >&2
	tail -n 5 "$dir"/*.log >&2
	exit 1
}

start() {
	local name=$1
	shift
	"$bin/$@" >"$dir/$name.log" 2>&1 &
	pids+=($!)
}

wait_http() {
	for _ in $(seq 200); do
		curl -s -o "$dir/null" --max-time 2 "$1" && return 0
		sleep 0.05
	done
	die "no answer from $1"
}

wait_ready() {
	for _ in $(seq 400); do
		[ "$(curl -s -o "$dir/null" -w '%{http_code}' --max-time 2 "$1/readyz")" = 200 ] && return 0
		sleep 0.05
	done
	die "$1 is not ready"
}

platform=http://$net.1:7000
echo "== starting: platform, 3 daemons, 6 engines, 3 plain services"
start platform fake_platform --listen "$net.1:7000"
wait_http "$platform/vms"
seeds=n1@d1@$net.11:8002,n2@d2@$net.12:8002,n3@d3@$net.13:8002
for i in 1 2 3; do
	start "engine-$i-a" fake_engine --listen "$net.$((20 + i)):9000" --id "engine-$i-a" --domain "d$i" --platform "$platform" --slots 16 --token-us 500
	start "engine-$i-b" fake_engine --listen "$net.$((30 + i)):9000" --id "engine-$i-b" --domain "d$i" --platform "$platform" --slots 16 --token-us 500
	start "desk-$i" fake_service --listen "$net.$((40 + i)):9000" --id "desk-$i" --domain "d$i" --platform "$platform" --service desk
	cat >"$dir/n$i.ini" <<-EOF
		[node]
		id = n$i
		domain = d$i
		[http]
		listen = $net.1$i:8000
		admin = $net.1$i:8001
		[platform]
		url = $platform
		[peer]
		listen = $net.1$i:8002
		seeds = $seeds
		[trace]
		file = $dir/trace-n$i.jsonl
	EOF
	"$bin/catkinpathd" --config "$dir/n$i.ini" --check || die "settings of n$i"
	start "n$i" catkinpathd --config "$dir/n$i.ini"
done
for i in 1 2 3; do wait_http "http://$net.1$i:8000/healthz"; done

ctl() { "$bin/catkinctl" --node "http://$net.11:8001" --node "http://$net.12:8001" "$@"; }

echo "== configuration"
ctl set usage.window 5s || die "set"
ctl route add desk --service desk || die "route add desk"
ctl route add policy --engine || die "route add policy"
ctl team add ghent || die "team add"
key=$(ctl key grant ghent) || die "key grant"
for i in 1 2 3; do wait_ready "http://$net.1$i:8000"; done
ctl status

echo "== bookings: one at each daemon"
for i in 1 2 3; do
	curl -sS --max-time 20 -H "Authorization: Bearer $key" -H "Idempotency-Key: run-$i" \
		-d "{\"call\":\"run-$i\",\"heaters\":4}" "http://$net.1$i:8000/v1/call/desk/book" || die "booking $i"
	echo
done
echo "-- the same call again at another daemon gives the same booking"
for _ in $(seq 20); do
	again=$(curl -sS --max-time 20 -H "Authorization: Bearer $key" -H "Idempotency-Key: run-1" \
		-d '{"call":"run-1","heaters":4}' "http://$net.12:8000/v1/call/desk/book") || die "repeat"
	[ "$(jq -r .error.code <<<"$again")" = claim-running ] || break
	sleep 0.2
done
echo "$again"
grep -q '"booking":1,"server":"desk-1"' <<<"$again" || die "the call was booked twice"

echo "== a rollout batch: 8 groups of 4 samples"
"$bin/fake_trainer" --node "http://$net.11:8000" --node "http://$net.12:8000" --key "$key" \
	--route policy --trainer demo --step 1 --groups 8 --n 4 --max-tokens 64 >"$dir/trainer.out" 2>&1 ||
	{ tail -n 20 "$dir/trainer.out"; die "rollout"; }
tail -n 3 "$dir/trainer.out" | cut -c1-400

echo "== a withdrawn key stops working"
ctl key withdraw "$(cut -d_ -f2 <<<"$key")" || die "withdraw"
code=0
for _ in $(seq 60); do
	code=$(curl -s -o "$dir/refusal" -w '%{http_code}' --max-time 5 -H "Authorization: Bearer $key" -d '{}' "http://$net.13:8000/v1/call/desk/book")
	[ "$code" = 401 ] && break
	sleep 0.05
done
cat "$dir/refusal"
echo
[ "$code" = 401 ] || die "the withdrawn key still works"

echo "== usage: waiting for a sealed window that was reported"
report=
for _ in $(seq 300); do
	report=$(curl -s --max-time 2 "$platform/fake/log" | jq -c '[.. | objects | select(.kind? == "usage")] | last // empty')
	grep -q ghent <<<"$report" && break
	sleep 0.1
done
[ -n "$report" ] || die "no usage window was reported"
echo "$report"

if [ -n "${KEEP:-}" ]; then
	echo "== up: catkinctl --node http://$net.11:8001 ... (Ctrl-C ends it)"
	while :; do sleep 1; done
fi
echo "== done"
