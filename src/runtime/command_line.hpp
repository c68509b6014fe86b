#pragma once

#include <string>
#include <vector>

namespace coriander {

/// Sets the program's flags from its command line and returns the positional arguments.
///
/// Flags are written `--name=value` or `--name value`; a Boolean flag also `--name` or `--noname`. Everything
/// after `--` is positional. `--help` and `--version` print to standard output and exit with 0; an unknown
/// flag or an invalid value is reported on standard error, and the process exits with 2. Call once, from
/// `main`.
[[nodiscard]] std::vector<std::string> parse_command_line(int argc, char** argv, const std::string& summary);

} // namespace coriander
