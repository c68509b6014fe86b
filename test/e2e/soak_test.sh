#!/usr/bin/env bash
# Short soaks of the gateways, with seeds that are the same each time.
set -uo pipefail
failed=0
for seed in 1 2; do
  "$(dirname "$0")/../../scripts/soak-gateways" "${1:-build}" "$seed" 12 || failed=1
done
exit "$failed"
