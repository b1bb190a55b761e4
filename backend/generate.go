package backend

//go:generate sh -c "go tool go-jsonschema --only-models --tags json --capitalization ID --disable-omitzero -p backend ../schema/Backend.json -o wire.go"
