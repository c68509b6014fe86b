#include "gateway/host_inquiries.hpp"

#include <catch2/catch.hpp>

namespace coriander {

TEST_CASE("host inquiries: a host is asked once an interval, and at once for a replica planned since")
{
    host_inquiries inquiries;
    CHECK(inquiries.is_due("a", std::nullopt, 100_ms, 1000_ms));
    inquiries.on_asked("a", 1000_ms);
    CHECK_FALSE(inquiries.is_due("a", std::nullopt, 100_ms, 1050_ms));
    CHECK_FALSE(inquiries.is_due("a", 990_ms, 100_ms, 1050_ms));
    CHECK(inquiries.is_due("a", 1010_ms, 100_ms, 1050_ms));
    CHECK(inquiries.is_due("a", std::nullopt, 100_ms, 1100_ms));
}

TEST_CASE("host inquiries: an answer counts from the moment of its question")
{
    host_inquiries inquiries;
    CHECK_FALSE(inquiries.has_told("a", 1000_ms));
    CHECK(inquiries.on_told("a", 1000_ms));
    CHECK(inquiries.has_told("a", 1000_ms));
    CHECK_FALSE(inquiries.has_told("a", 1001_ms));
}

TEST_CASE("host inquiries: a report that lags behind an order to leave is not believed")
{
    host_inquiries inquiries;
    inquiries.on_left("a", 1000_ms);
    CHECK_FALSE(inquiries.on_told("a", 950_ms));
    CHECK_FALSE(inquiries.on_told("a", 1100_ms));
    CHECK(inquiries.on_told("a", 1300_ms));
    CHECK(inquiries.on_told("b", 950_ms));
}

} // namespace coriander
