#include "runtime/command_line.hpp"

#include "coriander/build_name.hpp"
#include "runtime/program.hpp"

#include <gflags/gflags.h>

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <optional>

namespace coriander {
namespace {

/// A flag as written on the command line.
struct flag_argument {
    std::string name;
    std::optional<std::string> value;
};

[[noreturn]] void exit_with_usage_error(const std::string& program, const std::string& reason)
{
    std::cerr << program << ": " << reason << "; see '" << program << " --help'\n";
    std::exit(static_cast<int>(exit_code::bad_input)); // NOLINT(concurrency-mt-unsafe): no other thread yet.
}

[[noreturn]] void print_help(const std::string& summary)
{
    std::cout << summary << "\n\nFlags:\n";
    std::vector<gflags::CommandLineFlagInfo> flags;
    gflags::GetAllFlags(&flags);
    for (const auto& flag : flags) {
        // Flags that gflags defines itself are not listed.
        if (flag.filename.find("gflags") == std::string::npos) {
            std::cout << "  --" << flag.name << " (" << flag.type << ", default \"" << flag.default_value
                      << "\")\n      " << flag.description << "\n";
        }
    }
    std::exit(static_cast<int>(exit_code::ok)); // NOLINT(concurrency-mt-unsafe): no other thread yet.
}

[[noreturn]] void print_version(const std::string& program)
{
    std::cout << program << " " << own_build_name() << "\n";
    std::exit(static_cast<int>(exit_code::ok)); // NOLINT(concurrency-mt-unsafe): no other thread yet.
}

flag_argument parse_flag(const std::string& argument)
{
    const auto begin = argument.find_first_not_of('-');
    const auto equals = argument.find('=');
    if (equals == std::string::npos) {
        return {argument.substr(begin), std::nullopt};
    }
    return {argument.substr(begin, equals - begin), argument.substr(equals + 1)};
}

std::optional<gflags::CommandLineFlagInfo> find_flag(const std::string& name)
{
    gflags::CommandLineFlagInfo info;
    return gflags::GetCommandLineFlagInfo(name.c_str(), &info) ? std::optional{info} : std::nullopt;
}

/// Sets the value of a Boolean flag written without "=": true, or false with the prefix "no".
void set_implicit_boolean(flag_argument& flag)
{
    constexpr std::size_t negation_length = 2;
    const auto info = find_flag(flag.name);
    if (info && info->type == "bool") {
        flag.value = "true";
    }
    else if (!info && flag.name.starts_with("no")) {
        const auto positive = find_flag(flag.name.substr(negation_length));
        if (positive && positive->type == "bool") {
            flag = {positive->name, "false"};
        }
    }
}

} // namespace

std::vector<std::string> parse_command_line(int argc, char** argv, const std::string& summary)
{
    const auto program = std::filesystem::path{argv[0]}.filename().string();
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    std::vector<std::string> positional;
    for (std::size_t i = 0; i < arguments.size(); ++i) {
        if (arguments[i] == "--") {
            positional.insert(positional.end(), arguments.begin() + static_cast<std::ptrdiff_t>(i) + 1,
                              arguments.end());
            break;
        }
        if (arguments[i].size() < 2 || arguments[i].front() != '-') {
            positional.push_back(arguments[i]);
            continue;
        }
        auto flag = parse_flag(arguments[i]);
        if (flag.name == "help") {
            print_help(summary);
        }
        if (flag.name == "version") {
            print_version(program);
        }
        if (!flag.value) {
            set_implicit_boolean(flag);
        }
        if (!find_flag(flag.name)) {
            exit_with_usage_error(program, "there is no flag '" + arguments[i] + "'");
        }
        if (!flag.value && i + 1 == arguments.size()) {
            exit_with_usage_error(program, "the flag '" + arguments[i] + "' needs a value");
        }
        const auto value = flag.value ? *flag.value : arguments[++i];
        if (gflags::SetCommandLineOption(flag.name.c_str(), value.c_str()).empty()) {
            exit_with_usage_error(program,
                                  "the flag '--" + flag.name + "' can't have the value '" + value + "'");
        }
    }
    return positional;
}

} // namespace coriander
