#!/usr/bin/env bash
# Builds the stand-ins of review/11 to review/15 into target/review-3, with the compiler and the libraries that the deploy file names.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
flags=(-std=c++20 -O1 -g -Wall -Wextra $(pkg-config --cflags jsoncpp))
for source in review/standins-3/*.cpp; do
    name=$(basename "$source" .cpp)
    if [ "$name" != rig ]; then
        g++ "${flags[@]}" "$source" review/standins-3/rig.cpp -o "target/review-3/$name" $(pkg-config --libs jsoncpp) -pthread
    fi
done
