"""The layers of docs/architecture.md: packages import only those below them in its table, without import cycles."""

import ast
import re
import tomllib
import unittest
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = "wickdyke"
ARCHITECTURE_PAGE = ROOT / "docs" / "architecture.md"
TABLE_ROW = re.compile(r"^\| `(\w+)/` \|", re.MULTILINE)
GATEWAY_PACKAGES = ("platform", "jsonrpc", "gateway", "routing", "config")
SYSTEM_FACTS = {"getsockopt", "ioctl", "fcntl", "MSG_PEEK", "POLLRDHUP", "poll", "recvmsg", "ctypes", "resource"}
STANDARD_LIBRARY_ONLY = ("routing", "simulator")


def module_name(path: Path) -> str:
    """Returns the dotted name of a module's file."""
    parts = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def imports_of(path: Path) -> set[str]:
    """Returns the dotted names that a module imports, in any statement of its file."""
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            names.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.update(f"{node.module}.{alias.name}" for alias in node.names)
    return names


class Layers(unittest.TestCase):
    """Imports between and inside the packages of the gateway."""

    @classmethod
    def setUpClass(cls) -> None:
        """Parses every module once."""
        paths = {module_name(path): path for path in sorted((ROOT / PACKAGE).rglob("*.py"))}
        cls.imports = {name: imports_of(path) for name, path in paths.items()}
        cls.layers = TABLE_ROW.findall(ARCHITECTURE_PAGE.read_text(encoding="utf-8"))

    def modules_imported(self, name: str) -> set[str]:
        """Returns the modules of the package that a module imports."""
        found = set()
        for imported in self.imports[name]:
            for candidate in (imported, imported.rpartition(".")[0]):
                if candidate in self.imports and candidate != name:
                    found.add(candidate)
                    break
        return found

    def test_the_table_lists_every_package(self) -> None:
        """The page lists every package, and none that no longer exists."""
        packages = {path.parent.name for path in (ROOT / PACKAGE).glob("*/__init__.py")}
        self.assertEqual(set(self.layers), packages)

    def test_imports_go_down_the_table(self) -> None:
        """No module imports a package above its own in the table."""
        rank = {package: number for number, package in enumerate(self.layers)}
        upward = []
        for name in self.imports:
            if name.count(".") < 1 or (package := name.split(".")[1]) not in rank:
                continue
            for imported in self.modules_imported(name):
                if imported.count(".") and rank[imported.split(".")[1]] < rank[package]:
                    upward.append(f"{name} imports {imported}")
        self.assertEqual(upward, [])

    def test_no_import_cycles(self) -> None:
        """Every module can be loaded after those that it imports."""
        graph = {name: self.modules_imported(name) for name in self.imports}
        try:
            TopologicalSorter(graph).prepare()
        except CycleError as error:
            self.fail(f"import cycle: {' -> '.join(error.args[1])}")

    def test_facts_of_the_system_are_asked_for_below_the_gateways(self) -> None:
        """Gateways take what the system tells from `transport`, where each fact may be missing (issue 65)."""
        asking = []
        for package in GATEWAY_PACKAGES:
            for path in sorted((ROOT / PACKAGE / package).rglob("*.py")):
                tree = ast.parse(path.read_text(encoding="utf-8"))
                names = {node.attr for node in ast.walk(tree) if isinstance(node, ast.Attribute)}
                names |= {alias.name for node in ast.walk(tree) if isinstance(node, ast.Import) for alias in node.names}
                asking += [f"{path.name}: {name}" for name in sorted(names & SYSTEM_FACTS)]
        self.assertEqual(asking, [])

    def test_the_deploy_file_names_every_routing_module(self) -> None:
        """`policy` lists the modules that the simulator and the gateways share."""
        policy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["policy"]
        modules = {str(path.relative_to(ROOT)) for path in (ROOT / PACKAGE / "routing").glob("*.py")}
        self.assertEqual(set(policy), {path for path in modules if not path.endswith("__init__.py")})

    def test_routing_and_simulator_import_only_the_standard_library(self) -> None:
        """The simulator runs without installed packages."""
        allowed = (f"{PACKAGE}.routing", f"{PACKAGE}.config.deployment_settings", f"{PACKAGE}.simulator")
        for package in STANDARD_LIBRARY_ONLY:
            for name in self.imports:
                if not name.startswith(f"{PACKAGE}.{package}"):
                    continue
                own_imports = {each for each in self.imports[name] if each.split(".")[0] == PACKAGE}
                with self.subTest(module=name):
                    self.assertEqual([each for each in own_imports if not each.startswith(allowed)], [])


if __name__ == "__main__":
    unittest.main()
