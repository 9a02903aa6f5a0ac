#!/usr/bin/env bash
# Builds the scripts of the cases 11 to 15 with the stand-ins that they start. The build of the deploy file comes before it.
set -euo pipefail
cd "$(dirname "$0")/.."
node_modules/.bin/esbuild review/1[1-5]/scenario.ts --bundle --platform=node --target=node20 --format=esm --outdir=review/support-3/dist --out-extension:.js=.mjs --outbase=review --log-level=warning
