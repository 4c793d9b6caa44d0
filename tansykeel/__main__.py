"""`python -m tansykeel`: the command line."""

from tansykeel.cli.main import app

app()
