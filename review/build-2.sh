#!/usr/bin/env bash
# Builds what the scripts of this review start beside the product's own
# programs, which the build of the deploy file puts into target/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p standin-2/bin
for source in [4-8]/scenario.cc; do
  [ -e "$source" ] || continue
  g++ -std=c++20 -O1 -pthread -Istandin-2 "$source" \
    -o "standin-2/bin/case-${source%%/*}"
done
