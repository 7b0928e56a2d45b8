#!/usr/bin/env bash
# Builds what the scripts in review/6 to review/10 start beside the product's
# own programs: one stand-in for the platform, minions, operator and client.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -Wall -Wextra -o target/review/cell review/cell/cell.cpp -pthread
