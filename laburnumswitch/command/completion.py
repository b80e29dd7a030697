"""The ``completion`` command, which prints shell completion scripts."""

import click
from click.shell_completion import get_completion_class
from click.shell_completion import ShellComplete

PROGRAM_NAME = "laburnumswitch"
COMPLETION_VARIABLE = "_LABURNUMSWITCH_COMPLETE"


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
    shell_complete = get_completion_class(shell)(
        context.find_root().command, {}, PROGRAM_NAME, COMPLETION_VARIABLE
    )
    # BashComplete overrides source() and runs bash to check its version; the base method does not.
    click.echo(ShellComplete.source(shell_complete))
