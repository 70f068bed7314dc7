"""Works out what each role costs at the size that is built towards."""
