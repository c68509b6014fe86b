#include "gateway/relay_request.hpp"

#include "coriander/digest.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace coriander {
namespace {

/// Parses `text` as an unsigned integer; empty if any of it is something else.
std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool is_complete = parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size();
    return is_complete ? std::optional{number} : std::nullopt;
}

/// The key of the authorization header, without its scheme; empty if the scheme differs.
std::string_view key_of(const message_head& head, const relay_dialect& dialect)
{
    auto text = head.header(dialect.authorization);
    const auto scheme = text.substr(0, dialect.key_scheme.size());
    if (!equal_ignoring_case(scheme, dialect.key_scheme) || text.size() <= scheme.size()) {
        return {};
    }
    text.remove_prefix(scheme.size());
    text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
    return text;
}

void decode_tokens(relay_request& request, std::string_view text)
{
    const auto comma = text.find(',');
    request.prompt_tokens = static_cast<double>(parse_number(text.substr(0, comma)).value_or(0));
    if (comma != std::string_view::npos) {
        request.max_answer_tokens = static_cast<double>(parse_number(text.substr(comma + 1)).value_or(0));
    }
}

/// The fingerprints of `request`. The last part of its prompt belongs to this request alone, and is covered
/// by the fingerprint of the whole. `parts` has the form `id:tokens,id:tokens`.
std::vector<fingerprint> fingerprints_of(const relay_request& request, std::string_view parts)
{
    constexpr std::size_t max_parts = 64; // Callers choose the number of parts.
    const auto& head = request.raw.head;
    const auto customer =
        stable_hash(request.customer == nullptr ? std::string_view{} : request.customer->name);
    std::vector<fingerprint> prints{stable_hash(request.raw.body, stable_hash(head.target, customer))};
    for (auto comma = parts.find(','); comma != std::string_view::npos && prints.size() <= max_parts;
         comma = parts.find(',')) {
        const auto part = parts.substr(0, comma);
        prints.push_back(stable_hash(part.substr(0, part.find(':'))));
        parts.remove_prefix(comma + 1);
    }
    std::sort(prints.begin(), prints.end());
    prints.erase(std::unique(prints.begin(), prints.end()), prints.end());
    return prints;
}

/// The caller's headers without hop-by-hop ones and those that the gateway sets itself, and with the length
/// of the body.
std::vector<http_header> passed_headers(const relay_request& request, const relay_dialect& dialect)
{
    const std::array<std::string_view, 7> replaced{
        dialect.relayed,  dialect.customer, dialect.deadline_ms, dialect.expected_host, dialect.last_event_id,
        "Content-Length", "Expect"};
    std::vector<http_header> headers;
    const auto& own = request.raw.head.headers;
    const auto connection = request.raw.head.header("Connection");
    for (const auto& header : own) {
        const bool is_replaced = std::any_of(replaced.begin(), replaced.end(), [&](std::string_view name) {
            return equal_ignoring_case(header.name, name);
        });
        // A header named by the Connection header is hop-by-hop.
        const bool is_named =
            connection.size() == header.name.size() && equal_ignoring_case(connection, header.name);
        if (!is_replaced && !is_named && !is_hop_by_hop(header.name)) {
            headers.push_back(header);
        }
    }
    const bool has_body = !request.raw.body.empty() || !request.raw.head.header("Content-Length").empty() ||
                          !request.raw.head.header("Transfer-Encoding").empty();
    if (has_body) {
        headers.push_back({"Content-Length", std::to_string(request.raw.body.size())});
    }
    return headers;
}

/// Whether another gateway may be able to do what this one can't.
bool depends_on_gateway(local_reply reply) noexcept
{
    return reply == local_reply::no_manifest || reply == local_reply::cut_off ||
           reply == local_reply::relay_limit || reply == local_reply::stopping ||
           reply == local_reply::outdated;
}

} // namespace

local_reply decode_request(relay_request& request, const relay_dialect& dialect, double draw)
{
    const auto& head = request.raw.head;
    request.attempt_id = head.header(dialect.attempt_id);
    if (!request.routes) {
        return local_reply::no_manifest;
    }
    request.route = request.routes->find_route(head.header("Host"), head.target);
    if (request.route == nullptr || request.route->services.empty()) {
        return local_reply::no_route;
    }
    if (request.route->requires_customer_key && !request.routes->manifest().customers.empty()) {
        request.customer = request.routes->find_customer(key_of(head, dialect));
        if (request.customer == nullptr) {
            return local_reply::unknown_key;
        }
    }
    request.service = choose_service(*request.route, draw);
    request.model = head.header(dialect.model);
    decode_tokens(request, head.header(dialect.token_counts));
    request.prints = fingerprints_of(request, head.header(dialect.prompt_parts));
    request.last_event = parse_number(head.header(dialect.last_event_id));
    auto wait = request.route->time_limit;
    if (const auto deadline = parse_number(head.header(dialect.deadline_ms))) {
        wait = std::min(wait, time_ms{static_cast<std::int64_t>(*deadline)});
    }
    request.deadline = request.raw.arrived + wait;
    return request.routes->find_service(request.service) == nullptr ? local_reply::no_service
                                                                    : local_reply::none;
}

std::vector<http_header> forwarded_headers(const relay_request& request, const relay_dialect& dialect)
{
    auto headers = passed_headers(request, dialect);
    std::erase_if(headers, [&](const http_header& header) {
        return equal_ignoring_case(header.name, dialect.authorization);
    });
    if (request.customer != nullptr) {
        headers.push_back({dialect.customer, request.customer->name});
    }
    return headers;
}

std::vector<http_header> relayed_headers(const relay_request& request, const relay_dialect& dialect,
                                         std::string mark)
{
    auto headers = passed_headers(request, dialect);
    headers.push_back({dialect.relayed, std::move(mark)});
    return headers;
}

std::vector<http_header> local_reply_headers(local_reply reply, const relay_request& request,
                                             const relay_dialect& dialect, time_ms retry_after)
{
    constexpr int unavailable_status = 503;
    std::vector<http_header> headers;
    if (!request.attempt_id.empty()) {
        headers.push_back({dialect.attempt_id, request.attempt_id});
    }
    if (request.is_relayed && depends_on_gateway(reply)) {
        headers.push_back({dialect.not_run, "1"});
    }
    if (status_of(reply) == unavailable_status && retry_after > time_ms{}) {
        headers.push_back({"Retry-After", fmt::format("{:.3f}", retry_after.seconds())});
    }
    return headers;
}

int status_of(local_reply reply) noexcept
{
    switch (reply) {
    case local_reply::no_route:
        return 404;
    case local_reply::unknown_key:
        return 401;
    case local_reply::unknown_end:
        return 502;
    case local_reply::timed_out:
        return 504;
    default:
        return 503;
    }
}

const char* name_of(local_reply reply) noexcept
{
    constexpr std::array names{"none",        "no_manifest", "no_route",    "unknown_key",
                               "no_service",  "quarantined", "no_target",   "cut_off",
                               "relay_limit", "paused",      "overloaded",  "stopping",
                               "outdated",    "not_sent",    "unknown_end", "timed_out"};
    return names[static_cast<std::size_t>(reply)];
}

} // namespace coriander
