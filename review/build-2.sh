#!/bin/sh
# Builds the stand-ins of the second review into target/review-2, with the packages that
# deploy/system.toml lists.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/second_*.cc; do
    name=$(basename "$source" .cc)
    g++ -std=c++20 -O1 -Wall -Wextra -Ireview -o "target/review-2/${name#second_}" "$source" \
        -lcrypto -lpthread
done
