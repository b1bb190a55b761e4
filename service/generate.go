package service

//go:generate sh -c "go tool go-jsonschema --only-models --tags json --capitalization ID --disable-omitzero -p service ../schema/Configuration.json -o configuration.go"
