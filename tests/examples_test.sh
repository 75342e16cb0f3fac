#!/bin/bash
# Checks that each example program prints a configuration that `citronseam config check` accepts and
# that equals the configuration.yaml next to it.
set -euo pipefail
tool=$1
source_dir=$2
for example in ben-ammar kuechenstunde; do
    folder=$source_dir/examples/$example
    printed=$(mktemp)
    PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=$source_dir/config/python python3 "$folder/deployment.py" > "$printed"
    "$tool" config check "$printed"
    cmp "$printed" "$folder/configuration.yaml"
    rm -f "$printed"
done
