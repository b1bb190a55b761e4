package answer

//go:generate sh -c "go tool go-jsonschema --only-models --tags json --capitalization ID --disable-omitzero -p answer ../schema/Answer.json -o wire.go"
