#include "gateway/target_answer.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace coriander {
namespace {

constexpr int first_success_status = 200;
constexpr int first_redirect_status = 300;
constexpr int misdirected_status = 421;
constexpr int first_error_status = 500;

char to_lower(char letter) noexcept
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

} // namespace

std::optional<reported_load> parse_load(std::string_view text)
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    const auto* end = text.data() + text.size();
    const auto first = std::from_chars(text.data(), end, running);
    if (first.ec != std::errc{} || first.ptr == end || *first.ptr != ',') {
        return std::nullopt;
    }
    const auto second = std::from_chars(first.ptr + 1, end, waiting);
    return second.ec == std::errc{} ? std::optional{reported_load{running, waiting}} : std::nullopt;
}

std::optional<double> parse_rate_limit(std::string_view text)
{
    double per_second = 0.0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), per_second);
    const bool is_valid = parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size();
    return is_valid && per_second > 0.0 ? std::optional{per_second} : std::nullopt;
}

std::optional<time_ms> parse_retry_after(std::string_view text)
{
    constexpr double ms_per_second = 1000.0;
    constexpr double max_seconds = 1e12;
    double seconds = 0.0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), seconds);
    const bool is_number = parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size();
    if (!is_number || !std::isfinite(seconds) || seconds < 0.0) {
        return std::nullopt;
    }
    // Rounded up: a request must not come too early.
    return time_ms{static_cast<std::int64_t>(std::ceil(std::min(seconds, max_seconds) * ms_per_second))};
}

std::vector<http_header> forwarded_response_headers(const message_head& head)
{
    std::vector<http_header> headers;
    for (const auto& header : head.headers) {
        if (!is_hop_by_hop(header.name) && !equal_ignoring_case(header.name, "Content-Length")) {
            headers.push_back(header);
        }
    }
    return headers;
}

stream_form form_of(const message_head& head)
{
    const auto type = head.header("Content-Type");
    std::string media_type{type.substr(0, type.find(';'))};
    media_type.erase(media_type.find_last_not_of(" \t") + 1);
    std::transform(media_type.begin(), media_type.end(), media_type.begin(), to_lower);
    return {head.status, std::move(media_type)};
}

bool answers_attempt(std::string_view echoed_id, const expected_response& expected)
{
    if (expected.is_first_on_connection) {
        return echoed_id.empty() || echoed_id == expected.attempt_id;
    }
    return expected.kind != repetition::non_idempotent && !echoed_id.empty() &&
           echoed_id == expected.attempt_id;
}

std::optional<attempt_end> classify_response(const message_head& head, const relay_dialect& dialect,
                                             const expected_response& expected)
{
    const auto echoed = head.header(dialect.attempt_id);
    const bool is_success = head.status >= first_success_status && head.status < first_redirect_status;
    const bool is_unsigned = head.header(dialect.signature).empty() || echoed.empty();
    if (!answers_attempt(echoed, expected) || !head.header("Content-Encoding").empty() ||
        (is_success && is_unsigned)) {
        return attempt_end::lost;
    }
    if (head.status == misdirected_status || !head.header(dialect.not_run).empty()) {
        return attempt_end::declined;
    }
    if (head.status >= first_error_status || (expected.continued && !is_success)) {
        return attempt_end::failed;
    }
    const bool is_other_response = expected.continued && form_of(head) != *expected.continued;
    return is_other_response ? std::optional{attempt_end::lost} : std::nullopt;
}

std::optional<attempt_end> classify_relayed_response(const message_head& head, const relay_dialect& dialect,
                                                     const expected_response& expected)
{
    if (!answers_attempt(head.header(dialect.attempt_id), expected)) {
        return attempt_end::lost;
    }
    if (!head.header(dialect.not_run).empty()) {
        return attempt_end::not_sent;
    }
    const bool is_success = head.status >= first_success_status && head.status < first_redirect_status;
    const bool is_unsigned = head.header(dialect.signature).empty();
    if (is_success ? is_unsigned : expected.continued.has_value()) {
        return attempt_end::lost;
    }
    const bool is_other_response = expected.continued && form_of(head) != *expected.continued;
    return is_other_response ? std::optional{attempt_end::lost} : std::nullopt;
}

} // namespace coriander
