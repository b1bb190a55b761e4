package capacity

func Page(data *Data) ([]byte, error) { return nil, nil }
