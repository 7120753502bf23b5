#!/bin/sh
# Plays the case of this folder once: status 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
case_folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$case_folder/../.." && pwd)
play="$root/target/review-2/play-$(basename "$case_folder")"
[ -x "$play" ] && [ -x "$root/target/release/api-gateway" ] || {
    echo "cannot run: build the deploy file's programs and review/build-2.sh first"
    exit 2
}
temporary=$(mktemp -d) || exit 2
"$play" "$root" "$case_folder" "$temporary" &
running=$!
# Whatever ends this script ends all that it has started.
cleanup() {
    kill -KILL "$running" 2>/dev/null
    [ ! -f "$temporary/processes" ] || while read -r process; do kill -KILL "$process" 2>/dev/null; done <"$temporary/processes"
    rm -rf "$temporary"
}
trap 'cleanup; exit 2' INT TERM HUP
wait "$running"
status=$?
cleanup
[ "$status" -eq 0 ] || [ "$status" -eq 1 ] || status=2
exit "$status"
