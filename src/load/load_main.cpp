// coriander_load: makes load, checks every answer, and compares runs.

#include "load/load_run.hpp"
#include "runtime/command_line.hpp"
#include "runtime/program.hpp"

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <sstream>

DEFINE_string(entry_hosts, "", "entry hosts to ask first, as IP:port with commas");
DEFINE_string(customers, "", "customers as NAME:KEY:SHARE with commas");
DEFINE_string(service, "", "model service to send completions to");
DEFINE_string(plain_service, "", "plain service to send calls to");
DEFINE_double(rate, 20, "requests a second, on average");
DEFINE_double(seconds, 5, "how long to send");
DEFINE_double(plain_share, 0, "part of the requests that are plain calls, 0 to 1");
DEFINE_double(non_repeatable_share, 0, "part of the plain calls that may not be repeated, 0 to 1");
DEFINE_double(shared_prefix_share, 0.3, "part of the prompts that begin alike, 0 to 1");
DEFINE_uint64(max_tokens, 24, "tokens of each answer");
DEFINE_uint64(seed, 1, "seed of arrivals, prompts and choices");
DEFINE_string(json, "", "file to write the figures to");
DEFINE_bool(compare, false, "compare two files of figures: coriander_load --compare BEFORE AFTER");

namespace coriander {
namespace {

constexpr auto usage_text =
    "Makes load on entry hosts, checks every answer, and compares runs.\n"
    "Usage: coriander_load --entry_hosts IP:PORT --customers NAME:KEY --service NAME\n"
    "       coriander_load --compare BEFORE.json AFTER.json\n"
    "Exits with 1 when an answer was lost, mixed up or cut.";

int bad_usage(const std::string& why)
{
    std::cerr << "coriander_load: " << why << "; see 'coriander_load --help'\n";
    return static_cast<int>(exit_code::bad_input);
}

int compare(const std::vector<std::string>& files)
{
    constexpr std::size_t compared = 2;
    if (files.size() != compared) {
        return bad_usage("--compare takes two files");
    }
    const auto before = read_file(files.front());
    const auto after = read_file(files.back());
    if (!before || !after) {
        return bad_usage("a file of figures can't be read");
    }
    std::cout << comparison_table(parse_figures(*before), parse_figures(*after));
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
        return bad_usage(customers.error().message);
    }
    const bool shares_are_right = is_share(FLAGS_plain_share) && is_share(FLAGS_non_repeatable_share) &&
                                  is_share(FLAGS_shared_prefix_share);
    if (plan.entry_hosts.empty() || FLAGS_rate <= 0 || FLAGS_seconds <= 0 || !shares_are_right) {
        return bad_usage("give --entry_hosts, a --rate and --seconds above 0, and shares from 0 to 1");
    }
    if (FLAGS_service.empty() && FLAGS_plain_service.empty()) {
        return bad_usage("give --service or --plain_service");
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
    load_run one{std::move(plan)};
    const auto figures = one.run();
    if (!figures) {
        std::cerr << "coriander_load: " << figures.error().message << "\n";
        return static_cast<int>(exit_code::unavailable);
    }
    std::cout << figures_table(figures.value());
    if (!FLAGS_json.empty()) {
        std::ofstream{FLAGS_json} << figures_json(figures.value()) << "\n";
    }
    return static_cast<int>(figures.value().has_broken_answers() ? exit_code::failed : exit_code::ok);
}

} // namespace
} // namespace coriander

int main(int argc, char** argv)
{
    const auto words = coriander::parse_command_line(argc, argv, coriander::usage_text);
    try {
        return FLAGS_compare ? coriander::compare(words) : coriander::run();
    }
    catch (const std::exception& problem) {
        std::cerr << "coriander_load: " << problem.what() << "\n";
        return static_cast<int>(coriander::exit_code::failed);
    }
}
