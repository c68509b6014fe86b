#include "coriander/configuration.hpp"

#include "coriander/settings.hpp"
#include "runtime/program.hpp"

#include <catch2/catch.hpp>

namespace coriander {
namespace {

/// A faulty file and the finding that must be reported for it.
struct fault_case {
    const char* name;
    const char* text;
    std::uint32_t line;
    const char* message;
};

/// Compared with `findings_text`, so that a failing check prints the findings.
const std::string no_findings;

bool has_finding(const findings& list, std::uint32_t line, const std::string& expected)
{
    return std::any_of(list.begin(), list.end(), [&](const auto& one) {
        return one.line == line && one.message.find(expected) != std::string::npos;
    });
}

constexpr auto valid_settings = R"([entry_host]
name = "entry-1"
failure_domain = "gent"
address = "127.0.0.1"
[platform]
table_url = "http://127.0.0.1:1"
object_url = "http://127.0.0.1:1"
host_list_url = "http://127.0.0.1:1"
)";

} // namespace

TEST_CASE("configuration: the sample has no findings and is read correctly")
{
    const auto text = read_file(CORIANDER_SOURCE_DIR "/samples/two-services.toml");
    REQUIRE(text);
    const auto checked = parse_configuration(*text, "sample");
    CHECK(findings_text(checked.faults) == no_findings);
    const auto* rules = checked.config.profile_of("assistant");
    REQUIRE(rules != nullptr);
    CHECK(rules->hosts_per_replica == 2);
    CHECK(rules->stream_idle_limit == 1_s);
    REQUIRE(checked.config.profile_of("parts") != nullptr);
    CHECK_FALSE(checked.config.profile_of("parts")->calls.at(1).repeatable);
}

TEST_CASE("configuration: all faults of a file are reported in one pass")
{
    const auto text = read_file(CORIANDER_SOURCE_DIR "/samples/faulty.toml");
    REQUIRE(text);
    CHECK(parse_configuration(*text, "faulty").faults.size() == 12);
}

TEST_CASE("configuration: faults are reported at their positions")
{
    const auto cases = {
        fault_case{"a syntax error", "[[profile]]\nname = \n", 2, ""},
        fault_case{"an unknown key", "[[customers]]\nname = \"a\"\n", 1, "did you mean 'customer'"},
        fault_case{"a missing unit",
                   "[[profile]]\nname = \"a\"\nkind = \"model\"\nmodel = \"m\"\nqueue_limit = 5\n", 5,
                   "with its unit"},
        fault_case{"an unknown unit",
                   "[[profile]]\nname = \"a\"\nkind = \"model\"\nmodel = \"m\"\nqueue_limit = \"5 sec\"\n", 5,
                   "with its unit"},
        fault_case{"a value out of range",
                   "[[profile]]\nname = \"a\"\nkind = \"model\"\nmodel = \"m\"\ndowntime_weight = 1.5\n", 5,
                   "must be from 0 to 1"},
        fault_case{"a duplicate name",
                   "[[profile]]\nname = \"a\"\nkind = \"model\"\nmodel = \"m\"\n[[profile]]\nname = \"a\"\n",
                   6, "used twice"},
        fault_case{
            "a call without 'repeatable'",
            "[[profile]]\nname = \"a\"\nkind = \"plain\"\n[[profile.call]]\nname = \"b\"\npath = \"/b\"\n", 4,
            "'repeatable' is missing"},
        fault_case{"a table instead of an array of tables", "[profile]\nname = \"a\"\n", 1, "[[profile]]"},
    };
    for (const auto& one : cases) {
        DYNAMIC_SECTION(one.name)
        {
            const auto faults = parse_configuration(one.text, "file").faults;
            CAPTURE(findings_text(faults));
            CHECK(has_finding(faults, one.line, one.message));
        }
    }
}

TEST_CASE("settings: a valid file has no findings, and missing values get their defaults")
{
    const auto checked = parse_settings(valid_settings, "file");
    CHECK(findings_text(checked.faults) == no_findings);
    CHECK(checked.values.name == "entry-1");
    CHECK(checked.values.lease_duration == 5_s);
}

TEST_CASE("settings: the sample has no findings")
{
    const auto text = read_file(CORIANDER_SOURCE_DIR "/samples/entry-host.toml");
    REQUIRE(text);
    CHECK(findings_text(parse_settings(*text, "sample").faults) == no_findings);
}

TEST_CASE("settings: faults are reported at their positions")
{
    const std::string good = valid_settings;
    const auto cases = {
        fault_case{"a host name instead of an IP number", "[entry_host]\naddress = \"localhost\"\n", 2,
                   "IP number"},
        fault_case{"two equal ports", "[entry_host]\nhttp_port = 80\npeer_port = 80\n", 3, "must differ"},
        fault_case{"a URL without its scheme", "[platform]\ntable_url = \"127.0.0.1:1\"\n", 2, "http://"},
        fault_case{"a health window that is too short",
                   "[timing]\nhealth_interval = \"1s\"\nhealth_window = \"1s\"\n", 3, "at least twice"},
        fault_case{"an unknown section", "[timings]\n", 1, "did you mean 'timing'"},
        fault_case{"an unknown log level", "[log]\nlevel = \"LOUD\"\n", 2, "DEBUG, INFO"},
    };
    for (const auto& one : cases) {
        DYNAMIC_SECTION(one.name)
        {
            const auto faults = parse_settings(one.text, "file").faults;
            CAPTURE(findings_text(faults));
            CHECK(has_finding(faults, one.line, one.message));
        }
    }
}

} // namespace coriander
