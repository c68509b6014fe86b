#include "gateway/host_inquiries.hpp"

#include <catch2/catch.hpp>

namespace coriander {

TEST_CASE("host inquiries: a host gets one request per interval, and one at once for a newly planned "
          "replica")
{
    host_inquiries requests;
    CHECK(requests.is_due("a", std::nullopt, 100_ms, 1000_ms));
    requests.on_sent("a", 1000_ms);
    CHECK_FALSE(requests.is_due("a", std::nullopt, 100_ms, 1050_ms));
    CHECK_FALSE(requests.is_due("a", 990_ms, 100_ms, 1050_ms));
    CHECK(requests.is_due("a", 1010_ms, 100_ms, 1050_ms));
    CHECK(requests.is_due("a", std::nullopt, 100_ms, 1100_ms));
}

TEST_CASE("host inquiries: an answer is dated by the time of its request")
{
    host_inquiries requests;
    CHECK_FALSE(requests.has_answered("a", 1000_ms));
    CHECK(requests.on_answer("a", 1000_ms));
    CHECK(requests.has_answered("a", 1000_ms));
    CHECK_FALSE(requests.has_answered("a", 1001_ms));
}

TEST_CASE("host inquiries: a report that may predate a leave order is rejected")
{
    host_inquiries requests;
    requests.on_left("a", 1000_ms);
    CHECK_FALSE(requests.on_answer("a", 950_ms));
    CHECK_FALSE(requests.on_answer("a", 1100_ms));
    CHECK(requests.on_answer("a", 1300_ms));
    CHECK(requests.on_answer("b", 950_ms));
}

} // namespace coriander
