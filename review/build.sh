#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripts into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[0-9]/case.cpp; do
  number="$(basename "$(dirname "$source")")"
  g++ -std=c++17 -O1 -Wall -Wextra -pthread "$source" -o "target/review/case-$number"
done
