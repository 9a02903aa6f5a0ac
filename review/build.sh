#!/usr/bin/env bash
# Bundles the script of each case, with the stand-ins that it starts, into target/review. Needs the dependencies of the build, no network.
set -euo pipefail
cd "$(dirname "$0")/.."
npx --no-install esbuild review/[0-9]/scenario.ts --bundle --platform=node --format=esm --target=node20.20 \
	--outbase=review --outdir=target/review --out-extension:.js=.mjs --log-level=warning
