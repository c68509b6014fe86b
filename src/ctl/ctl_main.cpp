// corianderctl: the command-line tool for operators.

#include "coriander/digest.hpp"
#include "ctl/gateway_list.hpp"
#include "ctl/operator_session.hpp"
#include "runtime/command_line.hpp"

#include <gflags/gflags.h>

#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <sstream>

DEFINE_string(settings, "", "settings file of an entry host, for the platform's addresses");
DEFINE_string(table_url, "", "address of the platform's table; instead of --settings");
DEFINE_string(object_url, "", "address of the object store; --table_url if empty");
DEFINE_string(host_list_url, "", "address of the host list; --table_url if empty");
DEFINE_int64(base, -1, "apply only if the current configuration has this number");
DEFINE_string(author, "", "author of the change; $USER if empty");
DEFINE_int32(wait_ms, 10000, "how long to wait until a change is in force everywhere, in ms");
DEFINE_string(without, "",
              "comma-separated entry hosts known to be stopped; their confirmation is not awaited");

namespace coriander {
namespace {

constexpr auto usage_text = R"(Operates corianderpoint.
Usage: corianderctl [flags] COMMAND [ARGUMENT]

  validate FILE        check a configuration file; prints every finding with its line and column
  apply FILE           apply a configuration; waits until it is in force on every entry host
  await                wait until the latest configuration is in force on every entry host
  show                 print the current configuration
  diff FILE            print how a file differs from the current configuration
  list replicas        print the replicas and their hosts
  list hosts           print the hosts
  list entry-hosts     print the entry hosts and the configuration in force on each
  gateways IP:PORT     print build, features and state of the gateways, as the one with this metrics address
                       knows them
  drain HOST           move all replicas off a host and place no others there
  start HOST           allow a drained host to be used again
  explain TEXT         print the logged decisions that contain TEXT (a request, replica, host or customer)
  hash-key KEY         print the digest of an API key, for a [[customer]] entry

Exit codes: 0 done, 1 failed, 2 bad input, 3 pending, 4 conflict, 5 the platform can't be reached)";

struct command_line {
    std::string command;
    std::string argument;
};

std::optional<platform_urls> platform_addresses()
{
    if (!FLAGS_settings.empty()) {
        const auto values = load_settings(FLAGS_settings);
        if (!values) {
            return std::nullopt;
        }
        return platform_urls{values->table_url, values->object_url, values->host_list_url};
    }
    if (FLAGS_table_url.empty()) {
        std::cerr << "corianderctl: give --settings FILE or --table_url URL\n";
        return std::nullopt;
    }
    const auto or_table_url = [](const std::string& url) { return url.empty() ? FLAGS_table_url : url; };
    return platform_urls{FLAGS_table_url, or_table_url(FLAGS_object_url), or_table_url(FLAGS_host_list_url)};
}

operator_options options_from_flags()
{
    operator_options options;
    if (FLAGS_base >= 0) {
        options.base = static_cast<std::uint64_t>(FLAGS_base);
    }
    const char* user = std::getenv("USER"); // NOLINT(concurrency-mt-unsafe): no other thread yet.
    options.author = !FLAGS_author.empty() ? FLAGS_author : user != nullptr ? user : "operator";
    options.wait_timeout = time_ms{FLAGS_wait_ms};
    std::istringstream names{FLAGS_without};
    for (std::string name; std::getline(names, name, ',');) {
        options.stopped_entry_hosts.insert(name);
    }
    return options;
}

exit_code report_usage_error(const std::string& why)
{
    std::cerr << "corianderctl: " << why << "; see 'corianderctl --help'\n";
    return exit_code::bad_input;
}

exit_code list(operator_session& session, const std::string& what)
{
    if (what == "replicas") {
        return session.list_replicas();
    }
    if (what == "hosts") {
        return session.list_hosts();
    }
    if (what == "entry-hosts") {
        return session.list_entry_hosts();
    }
    return report_usage_error("'list' takes replicas, hosts or entry-hosts");
}

exit_code run_on_platform(const command_line& line)
{
    using handler = std::function<exit_code(operator_session&)>;
    const std::map<std::string, handler> with_argument{
        {"apply", [&](auto& session) { return session.apply(line.argument); }},
        {"diff", [&](auto& session) { return session.diff(line.argument); }},
        {"list", [&](auto& session) { return list(session, line.argument); }},
        {"drain", [&](auto& session) { return session.drain(line.argument); }},
        {"start", [&](auto& session) { return session.undrain(line.argument); }},
        {"explain", [&](auto& session) { return session.explain(line.argument); }},
    };
    const std::map<std::string, handler> without_argument{
        {"show", [](auto& session) { return session.show(); }},
        {"await", [](auto& session) { return session.await(); }},
    };
    const auto& handlers = line.argument.empty() ? without_argument : with_argument;
    const auto found = handlers.find(line.command);
    if (found == handlers.end()) {
        const bool is_known = with_argument.contains(line.command) || without_argument.contains(line.command);
        const auto* wrong = line.argument.empty() ? "' needs an argument" : "' takes no argument";
        return report_usage_error(is_known ? "'" + line.command + wrong
                                           : "there is no command '" + line.command + "'");
    }
    auto urls = platform_addresses();
    if (!urls) {
        return exit_code::bad_input;
    }
    operator_session session{std::move(*urls), options_from_flags()};
    return found->second(session);
}

exit_code run_command(const command_line& line)
{
    if (line.command == "validate" && !line.argument.empty()) {
        return operator_session::validate(line.argument);
    }
    if (line.command == "hash-key" && !line.argument.empty()) {
        std::cout << sha256_hex(line.argument) << "\n";
        return exit_code::ok;
    }
    if (line.command == "gateways" && !line.argument.empty()) {
        return list_gateways(line.argument);
    }
    return run_on_platform(line);
}

} // namespace
} // namespace coriander

int main(int argc, char** argv)
{
    const auto arguments = coriander::parse_command_line(argc, argv, coriander::usage_text);
    constexpr std::size_t max_arguments = 2;
    if (arguments.empty() || arguments.size() > max_arguments) {
        return static_cast<int>(coriander::report_usage_error("give one command and at most one argument"));
    }
    const coriander::command_line line{arguments.front(),
                                       arguments.size() == max_arguments ? arguments.back() : ""};
    try {
        return static_cast<int>(coriander::run_command(line));
    }
    catch (const std::exception& failure) {
        std::cerr << "corianderctl: " << failure.what() << "\n";
        return static_cast<int>(coriander::exit_code::failed);
    }
}
