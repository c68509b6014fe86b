#pragma once

#include "gateway/gateway_pages.hpp"
#include "gateway/gateway_report.hpp"
#include "gateway/gateway_settings.hpp"
#include "gateway/relay_context.hpp"
#include "net/caller_connection.hpp"

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace coriander {

/// Answers requests for a gateway's own pages: readiness, directory, metrics and the list of gateways. Must
/// be used on the event loop's thread only.
class page_server {
public:
    /// Returns the addresses of the other entry hosts that take callers' requests.
    using other_addresses = std::function<std::vector<std::string>()>;

    /// `context` and `settings` must outlive the server. `is_ready` tells whether this entry host takes
    /// callers' requests.
    page_server(relay_context& context, const gateway_settings& settings, gateway_pages pages,
                std::function<bool()> is_ready, other_addresses others);

    /// Sets the source of what is known of the gateways. Without it, the page lists none.
    void set_report_source(std::function<std::vector<gateway_report>()> source)
    {
        this->reports = std::move(source);
    }

    /// Answers the request; with 404 if there is no such page.
    void serve(caller_connection& caller, const incoming_request& request);

private:
    /// Addresses of the entry hosts that the directory lists, in random order.
    [[nodiscard]] std::vector<std::string> listed_addresses();

    relay_context& context;
    const gateway_settings& settings;
    gateway_pages pages;
    std::function<bool()> is_ready;
    other_addresses others;
    std::function<std::vector<gateway_report>()> reports = [] { return std::vector<gateway_report>{}; };
};

} // namespace coriander
