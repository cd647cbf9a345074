"""Who is alive: members, incarnations, probing and the view that follows from them."""
