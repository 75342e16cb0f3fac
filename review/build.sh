#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
cmake -S . -B target/review -G Ninja -DCMAKE_BUILD_TYPE=Release -DCITRONSEAM_TESTS=OFF \
    -DCMAKE_PROJECT_citronseam_INCLUDE="$PWD/review/standins.cmake"
cmake --build target/review --target review
