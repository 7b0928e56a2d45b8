#!/usr/bin/env bash
# Builds the stand-ins of the case 11 into target/review-3, after the
# build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O1 -Wall -Wextra -o target/review-3/standin \
  review/standin-3/standin.cpp -lboost_json -pthread
