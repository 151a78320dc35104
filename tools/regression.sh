#!/usr/bin/env bash
# Plays the standard days of the sites of the regression and prints the line of each
# day. Usage: tools/regression.sh BENCH SITES WHY, where BENCH is the users' bench and
# SITES the folder of its site files. JOBS bounds the cores.
set -euo pipefail
cd "$(dirname "$0")/.."
bench=$1 sites=$2 why=$3
for site in further/obls-catkingap further-grown/obls-catkingap-grown grown/kcw-ops-grown grown/tsagaan-masks-grown large/kcw-ops-large; do
	echo "== $site"
	"$bench" score "$sites/$site.toml" --jobs "${JOBS:-3}" --why "$why" | grep -E '^(score|day |quiet|trouble|scale|fresh|GATE)' || true
done
