#pragma once

#include <string>
#include <vector>

namespace coriander {

/// Sets the program's flags from its command line and returns the words that are not flags.
///
/// Flags are written `--name=value` or `--name value`; a Boolean one also `--name` or `--noname`; after `--`
/// all is words. `--help` and `--version` print to standard output and end the process with 0; a flag that is
/// not known or has a wrong value is named on standard error, and the process ends with 2. Call once, from
/// `main`.
[[nodiscard]] std::vector<std::string> parse_command_line(int argc, char** argv, const std::string& summary);

} // namespace coriander
