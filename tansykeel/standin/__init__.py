"""Small stand-ins for the outside: stores and the list service. For rehearsals and tests, not for data that matters."""
