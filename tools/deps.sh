#!/usr/bin/env bash
# Install the Debian packages of tools/packages.txt that are missing.
set -eu
cd "$(dirname "$0")/.."
missing=()
while read -r p; do
	[ -n "$p" ] || continue
	dpkg-query -W -f='${Status}' "$p" 2>/dev/null | grep -q 'ok installed' ||
		missing+=("$p")
done <tools/packages.txt
[ ${#missing[@]} -gt 0 ] || exit 0
sudo=
[ "$(id -u)" -eq 0 ] || sudo=sudo
echo "installing: ${missing[*]}"
$sudo apt-get update -qq
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq "${missing[@]}" >/dev/null
