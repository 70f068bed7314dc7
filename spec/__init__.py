"""Small specifications of the protocols, for the model checker."""
