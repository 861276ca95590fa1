#!/usr/bin/env bash
# Print all log lines about an id from collected log files, ordered by time.
#   tools/explain.sh ID FILE...
# ID: a request, batch, item, server or node. Also prints the events of an item's
# batch, and the state changes (store, leader, peers) of the nodes that logged it.
set -u
[ $# -ge 2 ] || { echo "usage: $0 ID FILE..." >&2; exit 2; }
id=$1
shift
lines=$(sed -n 's/^[^{]*\({"time".*}\)$/\1/p' "$@")
has='[.. | strings] | index($id)'
batch=$(jq -r --arg id "$id" "select($has) | .batch // empty" <<<"$lines" | head -1)
nodes=$(jq -r --arg id "$id" "select($has) | .node" <<<"$lines" | sort -u | jq -R . | jq -s .)
[ "$nodes" != '[]' ] || { echo "$id: no line" >&2; exit 1; }
# State changes of the nodes are printed from 10 s before the first line.
span=$(jq -s --arg id "$id" "map(select($has) | .time) |
	[(min | .[0:19] + \"Z\" | fromdateiso8601 - 10 | todateiso8601), max]" <<<"$lines")
beliefs='["store-lost","store-found","store-by-peer","site-stale","site-fresh","site-conf","lead-taken","lead-lost","live","node-lost","home-lost","relay-lost","relay-stale","feed-failed","feed-overdue","drain","start"]'
jq -c --arg id "$id" --arg batch "$batch" --argjson nodes "$nodes" --argjson span "$span" --argjson beliefs "$beliefs" '
	select(([.. | strings] | index($id))
	       or ($batch != "" and .batch == $batch and (.event | test("^(batch|items)-")))
	       or (.node as $n | .event as $e | ($nodes | index($n)) and ($beliefs | index($e))
	           and .time >= $span[0] and .time <= $span[1]))
	| {time, node, event} + del(.time, .node, .event, .num, .level, .program)' <<<"$lines" | sort -u
