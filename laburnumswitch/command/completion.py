"""``completion``: the script that lets a shell complete the commands."""

import click
from click.shell_completion import get_completion_class
from click.shell_completion import ShellComplete

PROGRAM = "laburnumswitch"
VARIABLE = "_LABURNUMSWITCH_COMPLETE"


@click.command()
@click.argument("shell", type=click.Choice(["bash", "fish", "zsh"]))
@click.pass_context
def completion(context: click.Context, shell: str) -> None:
    """Print the completion script of a shell.

    \b
    Examples:
      laburnumswitch completion bash > /etc/bash_completion.d/laburnumswitch
      laburnumswitch completion zsh > ~/.zfunc/_laburnumswitch
    """
    shell_complete = get_completion_class(shell)(context.find_root().command, {}, PROGRAM, VARIABLE)
    # The class of bash overrides this method to start a bash and ask for its version.
    click.echo(ShellComplete.source(shell_complete))
