#include "coriander/relay/route_table.hpp"

#include <catch2/catch.hpp>

namespace coriander {
namespace {

relay_route route_to(const std::string& prefix, const std::string& service)
{
    relay_route route;
    route.name = "to-" + service;
    route.host_name = "desk.example";
    route.path_prefix = prefix;
    route.services = {{service, 1.0}};
    return route;
}

relay_manifest sample_manifest()
{
    relay_manifest manifest;
    manifest.version = 7;
    manifest.routes = {route_to("/a/", "short"), route_to("/a/b/", "long")};
    manifest.services["short"].name = "short";
    manifest.customers = {{"gent", {"key-1", "key-2"}, std::nullopt}, {"leuven", {"key-3"}, std::nullopt}};
    return manifest;
}

std::string found_name(const route_table& table, std::string_view host, std::string_view target)
{
    const auto* route = table.find_route(host, target);
    return route == nullptr ? "none" : route->name;
}

} // namespace

TEST_CASE("route table: the longest matching path prefix is selected")
{
    const route_table table{sample_manifest()};
    CHECK(found_name(table, "desk.example", "/a/x") == "to-short");
    CHECK(found_name(table, "desk.example", "/a/b/x") == "to-long");
    CHECK(found_name(table, "desk.example", "/a/b/") == "to-long");
    CHECK(found_name(table, "desk.example", "/a/bx") == "to-short");
}

TEST_CASE("route table: the query and the port are ignored")
{
    const route_table table{sample_manifest()};
    CHECK(found_name(table, "desk.example:8080", "/a/x?back=/a/b/") == "to-short");
}

TEST_CASE("route table: an unknown host or path has no route")
{
    const route_table table{sample_manifest()};
    CHECK(found_name(table, "other.example", "/a/x") == "none");
    CHECK(found_name(table, "desk.example", "/b/x") == "none");
    CHECK(found_name(table, "desk.example", "") == "none");
}

TEST_CASE("route table: a customer is found by each of its keys and by no other")
{
    const route_table table{sample_manifest()};
    REQUIRE(table.find_customer("key-2") != nullptr);
    CHECK(table.find_customer("key-2")->name == "gent");
    CHECK(table.find_customer("key-3")->name == "leuven");
    CHECK(table.find_customer("key-4") == nullptr);
    CHECK(table.find_customer("") == nullptr);
}

TEST_CASE("route table: requests are split between services by weight")
{
    auto route = route_to("/a/", "old");
    route.services = {{"old", 90.0}, {"new", 10.0}};
    CHECK(choose_service(route, 0.0) == "old");
    CHECK(choose_service(route, 0.89) == "old");
    CHECK(choose_service(route, 0.91) == "new");
    CHECK(choose_service(route, 0.9999) == "new");
}

} // namespace coriander
