package patch

// maxDocuments is the number of documents whose sections are kept. A receiver
// that is further behind gets complete sections instead of differences.
const maxDocuments = 4

// Store holds the sections of the last documents. The sections share the bytes
// of the documents, so that the documents' size bounds the memory.
type Store struct {
	// docs holds at most maxDocuments, the newest last.
	docs [][]Section
}

// Add adds a document, which must not be modified afterwards.
func (sto *Store) Add(doc []byte) {
	sto.docs = append(sto.docs, Split(doc))
	if len(sto.docs) > maxDocuments {
		sto.docs[0] = nil
		sto.docs = sto.docs[1:]
	}
}

// Newest returns the sections of the document that was added last, or nil.
func (sto *Store) Newest() []Section {
	if len(sto.docs) == 0 {
		return nil
	}
	return sto.docs[len(sto.docs)-1]
}

// Find returns the text of the section with a digest, or nil.
func (sto *Store) Find(digest uint64) []byte {
	for _, secs := range sto.docs {
		for _, sec := range secs {
			if sec.version.digest == digest {
				return sec.text
			}
		}
	}
	return nil
}
