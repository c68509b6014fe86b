// coriander_load: generates load, checks every answer, and compares runs.

#include "load/load_run.hpp"
#include "runtime/command_line.hpp"
#include "runtime/program.hpp"

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <sstream>

DEFINE_string(entry_hosts, "", "entry hosts to contact first, as comma-separated IP:port");
DEFINE_string(customers, "", "customers, as comma-separated NAME:KEY:SHARE");
DEFINE_string(service, "", "model service to send completions to");
DEFINE_string(plain_service, "", "plain service to send calls to");
DEFINE_double(rate, 20, "average number of requests per second");
DEFINE_double(seconds, 5, "how long to send requests, in seconds");
DEFINE_double(plain_share, 0, "fraction of the requests that are plain calls, 0 to 1");
DEFINE_double(non_repeatable_share, 0, "fraction of the plain calls that must not be repeated, 0 to 1");
DEFINE_double(shared_prefix_share, 0.3, "fraction of the prompts that start with a common prefix, 0 to 1");
DEFINE_uint64(max_tokens, 24, "max_tokens of each completion request");
DEFINE_uint64(seed, 1, "random seed of arrivals, prompts and choices");
DEFINE_string(json, "", "file to write the results to, as JSON");
DEFINE_bool(compare, false, "compare two result files: coriander_load --compare BEFORE AFTER");

namespace coriander {
namespace {

constexpr auto usage_text =
    "Generates load on entry hosts, checks every answer, and compares runs.\n"
    "Usage: coriander_load --entry_hosts IP:PORT --customers NAME:KEY --service NAME\n"
    "       coriander_load --compare BEFORE.json AFTER.json\n"
    "Exits with 1 when an answer was lost, mixed up or cut.";

int report_usage_error(const std::string& why)
{
    std::cerr << "coriander_load: " << why << "; see 'coriander_load --help'\n";
    return static_cast<int>(exit_code::bad_input);
}

int compare(const std::vector<std::string>& files)
{
    constexpr std::size_t file_count = 2;
    if (files.size() != file_count) {
        return report_usage_error("--compare takes two files");
    }
    const auto before = read_file(files.front());
    const auto after = read_file(files.back());
    if (!before || !after) {
        return report_usage_error("a result file can't be read");
    }
    std::cout << comparison_table(parse_results(*before), parse_results(*after));
    return static_cast<int>(exit_code::ok);
}

bool is_share(double value)
{
    return value >= 0.0 && value <= 1.0;
}

int run()
{
    load_plan plan;
    std::istringstream hosts{FLAGS_entry_hosts};
    for (std::string host; std::getline(hosts, host, ',');) {
        plan.entry_hosts.push_back(host);
    }
    auto customers = parse_customers(FLAGS_customers);
    if (!customers) {
        return report_usage_error(customers.error().message);
    }
    const bool shares_are_valid = is_share(FLAGS_plain_share) && is_share(FLAGS_non_repeatable_share) &&
                                  is_share(FLAGS_shared_prefix_share);
    if (plan.entry_hosts.empty() || FLAGS_rate <= 0 || FLAGS_seconds <= 0 || !shares_are_valid) {
        return report_usage_error(
            "give --entry_hosts, a --rate and --seconds above 0, and shares from 0 to 1");
    }
    if (FLAGS_service.empty() && FLAGS_plain_service.empty()) {
        return report_usage_error("give --service or --plain_service");
    }
    plan.customers = std::move(customers).value();
    plan.service = FLAGS_service;
    plan.plain_service = FLAGS_plain_service;
    plan.requests_per_second = FLAGS_rate;
    plan.seconds = FLAGS_seconds;
    plan.plain_share = FLAGS_plain_share;
    plan.non_repeatable_share = FLAGS_non_repeatable_share;
    plan.shared_prefix_share = FLAGS_shared_prefix_share;
    plan.max_tokens = FLAGS_max_tokens;
    plan.seed = FLAGS_seed;
    load_run load{std::move(plan)};
    const auto results = load.run();
    if (!results) {
        std::cerr << "coriander_load: " << results.error().message << "\n";
        return static_cast<int>(exit_code::unavailable);
    }
    std::cout << results_table(results.value());
    if (!FLAGS_json.empty()) {
        std::ofstream{FLAGS_json} << results_json(results.value()) << "\n";
    }
    return static_cast<int>(results.value().has_broken_answers() ? exit_code::failed : exit_code::ok);
}

} // namespace
} // namespace coriander

int main(int argc, char** argv)
{
    const auto arguments = coriander::parse_command_line(argc, argv, coriander::usage_text);
    try {
        return FLAGS_compare ? coriander::compare(arguments) : coriander::run();
    }
    catch (const std::exception& failure) {
        std::cerr << "coriander_load: " << failure.what() << "\n";
        return static_cast<int>(coriander::exit_code::failed);
    }
}
