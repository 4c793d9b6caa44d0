"""A storage gateway that keeps volumes to their reservations, shares and limits."""
