#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need.
set -euo pipefail

packages=(g++ cmake ninja-build ccache clang-format clang-tidy python3 curl
  libboost1.81-dev libnng-dev libcli11-dev libfmt-dev doctest-dev libinih-dev
  librapidcheck-dev libxxhash-dev nlohmann-json3-dev libssl-dev)

missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'install ok installed' || missing+=("$package")
done
if ((${#missing[@]})); then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq \
    --no-install-recommends "${missing[@]}" >/dev/null
fi
