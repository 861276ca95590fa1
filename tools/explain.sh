#!/usr/bin/env bash
# Follow an id through collected logs, in the order of time.
#   tools/explain.sh ID FILE...
# ID: a request, batch, item, server or node. Lines of the batch of an item, and
# what the node that logged them believed meanwhile, are shown too.
set -u
[ $# -ge 2 ] || { echo "usage: $0 ID FILE..." >&2; exit 2; }
id=$1
shift
lines=$(sed -n 's/^[^{]*\({"time".*}\)$/\1/p' "$@")
has='[.. | strings] | index($id)'
batch=$(jq -r --arg id "$id" "select($has) | .batch // empty" <<<"$lines" | head -1)
nodes=$(jq -r --arg id "$id" "select($has) | .node" <<<"$lines" | sort -u | jq -R . | jq -s .)
[ "$nodes" != '[]' ] || { echo "$id: no line" >&2; exit 1; }
# Lines about what a node believed are shown from 10 s before the first line on.
span=$(jq -s --arg id "$id" "map(select($has) | .time) |
	[(min | .[0:19] + \"Z\" | fromdateiso8601 - 10 | todateiso8601), max]" <<<"$lines")
# Nodes of an older version log site-stale, site-fresh, live and home-lost.
beliefs='["store-lost","store-found","store-by-peer","site-stale","site-conf-stale","site-fresh","site-conf-confirmed","site-conf","lead-taken","lead-lost","live","live-key-written","node-lost","home-lost","home-not-answering","relay-lost","relay-stale","feed-failed","feed-overdue","drain","start"]'
jq -c --arg id "$id" --arg batch "$batch" --argjson nodes "$nodes" --argjson span "$span" --argjson beliefs "$beliefs" '
	select(([.. | strings] | index($id))
	       or ($batch != "" and .batch == $batch and (.event | test("^(batch|items)-")))
	       or (.node as $n | .event as $e | ($nodes | index($n)) and ($beliefs | index($e))
	           and .time >= $span[0] and .time <= $span[1]))
	| {time, node, event} + del(.time, .node, .event, .num, .level, .program)' <<<"$lines" | sort -u
