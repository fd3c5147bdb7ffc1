#!/usr/bin/env bash
# Installs those of the required Debian packages that are missing.
set -eu
packages=(
  g++ make pkg-config clang-format clang-tidy curl gnuplot-nox
  libglib2.0-dev libsoup-3.0-dev libflatbuffers-dev flatbuffers-compiler
  libyaml-cpp-dev libboost-log-dev libxxhash-dev nlohmann-json3-dev
  prometheus-cpp-dev libdocopt-dev doctest-dev librapidcheck-dev
)
missing=()
for package in "${packages[@]}"; do
  if ! dpkg-query -W -f '${Status}' "$package" 2>/dev/null |
    grep -q 'install ok installed'; then
    missing+=("$package")
  fi
done
if [ "${#missing[@]}" -gt 0 ]; then
  apt-get update -q
  DEBIAN_FRONTEND=noninteractive apt-get install -y -q "${missing[@]}"
fi
