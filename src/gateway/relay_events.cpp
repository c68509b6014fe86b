#include "gateway/relay_events.hpp"

#include "runtime/log.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <string>

namespace coriander {
namespace {

/// The start of a request's list of prompt parts, which callers choose and which may be long.
std::string_view logged_parts(std::string_view parts)
{
    constexpr std::size_t max_logged_bytes = 120;
    return parts.substr(0, max_logged_bytes);
}

std::string prints_text(std::span<const fingerprint> prints)
{
    std::string text;
    for (const auto print : prints) {
        text += fmt::format("{}{:016x}", text.empty() ? "" : ",", print);
    }
    return text;
}

} // namespace

void log_refusal(const relay_request& request, local_reply reply, const std::optional<target_choice>& best,
                 const refusal_report& report)
{
    log_event(event::request_refused, {{"request", request.attempt_id},
                                       {"why", name_of(reply)},
                                       {"model", request.model},
                                       {"targets", report.targets},
                                       {"load", best ? best->total() : 0.0},
                                       {"slots", best ? best->target.slots : 0},
                                       {"supply", report.supply},
                                       {"wait", report.predicted_wait},
                                       {"retry_after", report.retry_after}});
}

void log_doubt(const relay_request& request, local_reply problem, std::uint64_t version,
               manifest_doubt_cause cause, time_ms age)
{
    log_event(event::manifest_doubted, {{"request", request.attempt_id},
                                        {"instead_of", name_of(problem)},
                                        {"version", version},
                                        {"cause", name_of(cause)},
                                        {"age", age}});
}

void log_quarantined(const relay_request& request, unsigned attempts_sent, time_ms retry_after)
{
    log_event(event::request_quarantined, {{"request", request.attempt_id},
                                           {"route", request.route->name},
                                           {"model", request.model},
                                           {"attempts", attempts_sent},
                                           {"prints", prints_text(request.prints)},
                                           {"retry_after", retry_after}});
}

void log_crash(const std::string& host, std::uint64_t incarnation, std::span<const crash_suspect> suspects,
               time_ms after)
{
    const auto started = std::count_if(suspects.begin(), suspects.end(),
                                       [](const crash_suspect& one) { return one.had_started; });
    log_event(event::host_crashed, {{"host", host},
                                    {"incarnation", incarnation},
                                    {"suspects", suspects.size()},
                                    {"started", started},
                                    {"after", after}});
}

void log_quarantine(std::span<const quarantine_entry> entries, time_ms now)
{
    if (entries.empty()) {
        log_event(event::quarantine_changed, {{"entries", 0}});
    }
    for (const auto& entry : entries) {
        log_event(event::quarantine_changed, {{"entries", entries.size()},
                                              {"prints", prints_text(entry.prints)},
                                              {"crashes", entry.crashes},
                                              {"age", now - entry.last_crash}});
    }
}

void log_permit(const relay_request& request, const target_choice& choice, permit_decision decision)
{
    log_event(event::permit_decided, {{"request", request.attempt_id},
                                      {"target", choice.target.id},
                                      {"generation", choice.target.generation},
                                      {"granted", decision.is_granted ? "yes" : "no"},
                                      {"wait", decision.wait}});
}

void log_redirect(const relay_request& request, const target_choice& choice)
{
    log_event(event::request_redirected, {{"request", request.attempt_id},
                                          {"target", choice.target.id},
                                          {"host", choice.target.host},
                                          {"generation", choice.target.generation},
                                          {"incarnation", choice.target.incarnation}});
}

void log_rejected_marks(std::string_view request, std::size_t count)
{
    log_event(event::relay_mark_rejected, {{"request", request}, {"count", count}});
}

void log_choice(const relay_request& request, const target_choice& choice, unsigned attempt,
                std::optional<std::uint64_t> after_event)
{
    log_event(event::route_chosen, {{"request", request.attempt_id},
                                    {"route", request.route->name},
                                    {"target", choice.target.id},
                                    {"host", choice.target.host},
                                    {"generation", choice.target.generation},
                                    {"own", choice.own_requests},
                                    {"others", choice.other_requests},
                                    {"attempt", attempt},
                                    {"after_event", after_event.value_or(0)},
                                    {"manifest", request.routes->manifest().version}});
}

void log_request_kept(const relay_request& request, const relay_target& target, const char* why)
{
    log_event(event::request_kept, {{"request", request.attempt_id},
                                    {"target", target.id},
                                    {"host", target.host},
                                    {"generation", target.generation},
                                    {"why", why}});
}

void log_attempt_end(const relay_request& request, const attempt_report& report)
{
    log_event(event::attempt_failed, {{"request", request.attempt_id},
                                      {"target", report.target.id},
                                      {"host", report.target.host},
                                      {"end", name_of(report.end)},
                                      {"why", report.reason},
                                      {"status", report.status},
                                      {"reused", report.was_reused ? "yes" : "no"},
                                      {"after", report.after},
                                      {"writing", report.writing},
                                      {"events", report.events},
                                      {"prompt", logged_parts(report.prompt_parts)},
                                      {"next", name_of(report.next)}});
}

void log_request_end(const relay_request& request, const request_report& report)
{
    log_event(event::request_ended,
              {{"request", request.attempt_id},
               {"route", request.route != nullptr ? request.route->name : std::string{}},
               {"customer", request.customer != nullptr ? request.customer->name : std::string{}},
               {"model", request.model},
               {"prompt_tokens", request.prompt_tokens},
               {"answer_limit", request.max_answer_tokens},
               {"outcome", report.outcome},
               {"status", report.status},
               {"target", report.target},
               {"attempts", report.attempts},
               {"events", report.events},
               {"first_event", report.first_event},
               {"longest_gap", report.longest_gap},
               {"took", report.took},
               {"prompt", logged_parts(report.prompt_parts)},
               {"expected_load", report.expected_load},
               {"told_load",
                report.reported_load ? std::to_string(std::lround(*report.reported_load)) : "unknown"}});
}

} // namespace coriander
