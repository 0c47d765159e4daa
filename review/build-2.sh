#!/usr/bin/env bash
# Builds the test bed and the stand-ins of the cases 6 to 10, into
# target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/case.cc; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -o "target/review-2/case-$number" "$source" \
      -pthread
done
