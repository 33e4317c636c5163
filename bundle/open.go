package bundle

// Open joins the documents of a manifest, validates them and compiles the
// configuration. It runs on submission and again on each host.
func Open(m Manifest, contents Contents) (*Config, Documents, error) {
	docs, err := Join(m.Parts, contents)
	if err != nil {
		return nil, Documents{}, err
	}
	if problems := Validate(docs); len(problems) > 0 {
		return nil, Documents{}, problems
	}
	config, err := Compile(m.Generation, docs)
	return config, docs, err
}
