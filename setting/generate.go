package setting

//go:generate sh -c "go tool go-jsonschema --only-models --tags json --capitalization ID --capitalization URL --disable-omitzero -p setting ../schema/Settings.json -o settings.go"
