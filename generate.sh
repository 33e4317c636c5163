#!/usr/bin/env bash
# Makes the committed *.pb.go files again. Needs protoc (Debian: protobuf-compiler);
# the build and CI do not.
set -euo pipefail
cd "$(dirname "$0")"
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/protoc-gen-go" google.golang.org/protobuf/cmd/protoc-gen-go
go build -o "$bin/protoc-gen-go-drpc" storj.io/drpc/cmd/protoc-gen-go-drpc
for proto in */*pb/*.proto; do
  PATH="$bin:$PATH" protoc --go_out=. --go_opt=paths=source_relative \
    --go-drpc_out=. --go-drpc_opt=paths=source_relative "$proto"
done
