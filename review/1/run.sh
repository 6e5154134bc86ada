#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruptions out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case-1 ] && [ -x target/platform/pimentosail-entry ] || { echo "not built"; exit 2; }
exec target/review/case-1 review/1/record.txt
