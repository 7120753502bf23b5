#!/bin/sh
# Runs this case. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: no disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program="$root/target/review/case-$(basename "$here")"
[ -x "$program" ] && [ -x "$root/target/release/api-gateway" ] || { echo "build first" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
"$program" "$root" "$folder" "$here/record.txt"
status=$?
case $status in 0|1) exit $status ;; *) exit 2 ;; esac
