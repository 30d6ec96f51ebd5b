#!/bin/sh
# Builds the stand-ins of the cases from 6 on into target/review-2.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.cpp; do
  name=$(basename "$source" .cpp)
  ${CXX:-g++} -std=c++17 -O1 -pthread -o "target/review-2/$name" "$source"
done
