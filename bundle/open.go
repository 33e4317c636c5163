package bundle

// Open puts the documents of a manifest together, checks them and compiles
// the configuration. Both the submit and each host go through it: a bad
// bundle is refused before acceptance, and again by each host.
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
