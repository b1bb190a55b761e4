// Package message contains the types of the messages that entry hosts exchange.
// The types and their msgpack codecs are generated from schema/Messages.json.
package message

//go:generate sh -c "go tool go-jsonschema --only-models --tags json --capitalization ID --disable-omitzero -p message ../schema/Messages.json -o message.go"
//go:generate go tool msgp -d "tag json" -io=false -tests=false -file message.go -o message_gen.go
