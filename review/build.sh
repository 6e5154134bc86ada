#!/usr/bin/env bash
# Builds the program of each script into target/review/. It needs a compiler and jsoncpp, as the build of the deploy file does. The
# sources end in .cc and .hpp, so that the project's own checks, which take .cpp and .h, leave them out.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cc; do
    [ -e "$source" ] || continue
    name=$(basename "$(dirname "$source")")
    c++ -std=c++20 -O1 -Wall -Wextra -Ireview/rig $(pkg-config --cflags jsoncpp) "$source" -o "target/review/case-$name" $(pkg-config --libs jsoncpp) -pthread
done
