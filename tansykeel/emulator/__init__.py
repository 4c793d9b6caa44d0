"""Days in simulated time: the real module and core of each gateway, the stand-ins' models; one seed, one outcome."""
