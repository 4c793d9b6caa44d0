"""The experiments: each module is loaded by `registry.all_experiments` and registers its own."""
