"""The program at the edge: takes tasks from clients, carries out what the module decides."""
