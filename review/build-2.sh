#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start, into target/review-2. To be run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{7,8,9,10}/case.cpp; do
    number=$(basename "$(dirname "$source")")
    c++ -std=c++20 -O1 -Wall -Wextra -pthread -I/usr/include/jsoncpp "$source" -o "target/review-2/case-$number" -ljsoncpp
done
