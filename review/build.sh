#!/usr/bin/env bash
# Builds the stand-ins of all scripts into target/review/; needs g++ only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -pthread -Ireview -o "target/review/case-$number" "$source" &
done
status=0
for job in $(jobs -p); do wait "$job" || status=1; done
exit $status
