#!/usr/bin/env bash
# Checks the cases and their stand-ins, which are plain JavaScript and need no build.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/support-2/*.js review/[0-9]*/case.js; do
	node --check "$file"
done
