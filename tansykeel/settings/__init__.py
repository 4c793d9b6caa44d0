"""Settings: Starlark scripts that build records, their checks, and the facts made from them."""
