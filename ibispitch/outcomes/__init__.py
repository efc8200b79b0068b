"""How the requests of one upstream end, as its agent sees it."""
