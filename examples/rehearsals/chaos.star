# Troubles of gateways, of the links between them and of stores, drawn from the seed: another day with each.
load("_fellows.star", "fellows")
day("chaos", seconds = 14, says = "drawn troubles between five gateways that agree on views: no rule broken, whatever the seed")
fellows()
chaos(least = 3, most = int(param("most", 8)), after_s = 2, until_s = 9)
