"""Stand-ins and tools that the cases of the review share. Only the standard library is used."""
