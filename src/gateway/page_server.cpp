#include "gateway/page_server.hpp"

#include <algorithm>
#include <utility>

namespace coriander {
namespace {

constexpr int ok = 200;
constexpr int not_found = 404;
constexpr int unavailable = 503;

} // namespace

page_server::page_server(relay_context& context, const gateway_settings& settings, gateway_pages pages,
                         std::function<bool()> is_ready, other_addresses others)
    : context{context}, settings{settings}, pages{std::move(pages)}, is_ready{std::move(is_ready)},
      others{std::move(others)}
{
}

void page_server::serve(caller_connection& caller, const incoming_request& request)
{
    const auto path = request.head.target.substr(0, request.head.target.find('?'));
    if (path == this->pages.readiness_path) {
        caller.send(this->is_ready() ? ok : unavailable, {}, {});
    }
    else if (path == this->pages.directory_path) {
        const auto addresses = this->listed_addresses();
        caller.send(addresses.empty() ? unavailable : ok, {{"Content-Type", "application/json"}},
                    this->pages.directory_text(addresses, this->settings.directory_ttl));
    }
    else if (path == this->pages.metrics_path) {
        const auto stated = this->context.statements.counts(this->context.clock.now());
        this->context.counters.set("coriander_statements_in_force", "says=\"leaving\"",
                                   static_cast<double>(stated.leaving));
        this->context.counters.set("coriander_statements_in_force", "says=\"pause\"",
                                   static_cast<double>(stated.pauses));
        count_builds(this->reports(), this->context.counters);
        caller.send(ok, {{"Content-Type", "text/plain"}}, this->context.counters.text());
    }
    else if (path == this->pages.gateways_path) {
        caller.send(ok, {{"Content-Type", "text/plain"}}, text_of(this->reports()));
    }
    else {
        caller.send(not_found, {}, {});
    }
}

std::vector<std::string> page_server::listed_addresses()
{
    constexpr std::size_t max_addresses = 64;
    auto addresses = this->others();
    if (this->is_ready()) {
        addresses.push_back(this->settings.callers_address);
    }
    std::shuffle(addresses.begin(), addresses.end(), this->context.random);
    addresses.resize(std::min(addresses.size(), max_addresses));
    return addresses;
}

} // namespace coriander
