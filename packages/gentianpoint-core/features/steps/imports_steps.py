"""Steps for the modules that entries and agents import."""

import json
import subprocess
import sys

import behave

PROGRAM = """
import json
import sys
{imports}
from {package}.generated import settings

def print_modules(_):
    print(json.dumps(sorted(sys.modules)))

command = settings.make_{process}_command(print_modules)
command({flags!r}, standalone_mode=False)
"""
FLAGS = {
    "entry": {
        "--name": "entry-1",
        "--data-centre": "zona-norte",
        "--log-url": "http://127.0.0.1:9",
        "--hosts-url": "http://127.0.0.1:9",
        "--peer-key": "key",
        "--operator-key-hash": "0" * 64,
    },
    "agent": {
        "--name": "agent-1",
        "--data-centre": "zona-norte",
        "--log-url": "http://127.0.0.1:9",
        "--peer-key": "key",
        "--service": "modelo-taller",
        "--target": "taller-1",
        "--target-url": "http://127.0.0.1:9",
    },
}
IMPORTS = {
    "entry": "import gentianpoint_entry.cli\n"
    "import gentianpoint_entry.entry_command",
    "agent": "import gentianpoint_agent.cli",
}


@behave.when("the {process} has read its settings")
def read_settings(context, process):
    source = PROGRAM.format(
        imports=IMPORTS[process],
        package=f"gentianpoint_{process}",
        process=process,
        flags=[text for pair in FLAGS[process].items() for text in pair],
    )
    completed = subprocess.run(
        [sys.executable, "-c", source],
        stdout=subprocess.PIPE,
        text=True,
        check=True,
        timeout=60,
    )
    context.modules = json.loads(completed.stdout)


@behave.then("none of these modules is imported")
def check_modules(context):
    unwanted = {row["module"] for row in context.table}
    found = [
        name
        for name in context.modules
        if any(
            name == module or name.startswith(f"{module}.")
            for module in unwanted
        )
    ]
    assert not found, found
