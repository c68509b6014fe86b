#include "coriander/relay/target_statements.hpp"

#include <catch2/catch.hpp>

namespace coriander {
namespace {

constexpr time_ms start = 1000_s;

} // namespace

TEST_CASE("target statements: leaving holds for one incarnation at one address")
{
    target_statements statements;
    const auto host = key_of_host("i-1", 7, "10.0.0.1:80");
    CHECK(statements.on_leaving(host, start));
    CHECK_FALSE(statements.on_leaving(host, start + 1_s));
    CHECK(statements.is_leaving(host));
    CHECK_FALSE(statements.is_leaving(key_of_host("i-1", 8, "10.0.0.1:80")));
    CHECK_FALSE(statements.is_leaving(key_of_host("i-1", 7, "10.0.0.2:80")));
    CHECK_FALSE(statements.is_leaving(key_of_host("i-2", 7, "10.0.0.1:80")));
}

TEST_CASE("target statements: beyond the limit, the host with the oldest statement is forgotten")
{
    target_statements statements;
    for (std::uint64_t i = 0; i <= target_statements::max_hosts; ++i) {
        statements.on_leaving(i, start + time_ms{static_cast<std::int64_t>(i)});
        statements.on_leaving(0, start + time_ms{static_cast<std::int64_t>(i)});
    }
    CHECK(statements.size() == target_statements::max_hosts);
    CHECK(statements.is_leaving(0));
    CHECK_FALSE(statements.is_leaving(1));
    CHECK(statements.is_leaving(2));
}

} // namespace coriander
