"""Bad days as scripts, played by real processes on loopback; the form names nothing of a stage."""
