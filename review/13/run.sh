#!/usr/bin/env bash
# Plays the case with the programs that the deploy file and review/build-3.sh have built. Exits with 1 if the rule was broken, 0 if it held and 2 if
# the case could not run.
set -u
cd "$(dirname "$0")/../.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout -k 3 115 target/review-3/waiting review/13 "$folder" target/platform/pimentosail-entry
status=$?
if [ "$status" -gt 1 ]; then
    exit 2
fi
exit "$status"
