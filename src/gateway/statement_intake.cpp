#include "gateway/statement_intake.hpp"

#include "gateway/relay_session.hpp"
#include "gateway/target_answer.hpp"
#include "runtime/log.hpp"

#include <fmt/format.h>

#include <memory>
#include <string>
#include <vector>

namespace coriander {
namespace {

constexpr int unavailable_status = 503;
constexpr std::string_view retry_after_header = "Retry-After";

/// Applies the statements to all targets.
void apply_statements(relay_context& context)
{
    for (auto& [name, state] : context.services) {
        state.board.apply_statements();
    }
    withdraw_forbidden(context);
    context.on_statement();
}

/// Logs and counts a statement that was not known.
void log_statement(relay_context& context, const relay_target& target, const char* says, time_ms wait,
                   const char* source)
{
    log_event(event::statement_received, {{"target", target.id},
                                          {"host", target.host},
                                          {"incarnation", target.incarnation},
                                          {"address", target.address},
                                          {"says", says},
                                          {"wait", wait},
                                          {"source", source}});
    context.counters.add("coriander_statements_total",
                         fmt::format("says=\"{}\",source=\"{}\"", says, source));
}

void log_ignored(const relay_target& target, std::string_view header, std::string_view value)
{
    constexpr std::size_t max_logged_bytes = 60;
    log_event(event::statement_ignored, {{"target", target.id},
                                         {"host", target.host},
                                         {"header", header},
                                         {"value", value.substr(0, max_logged_bytes)}});
}

/// Records whether the target leaves. Returns whether that was not known.
bool record_leaving(relay_context& context, host_key key, const relay_target& target,
                    const message_head& head)
{
    const auto& header = context.dialect.leaving;
    const auto text = head.header(header);
    if (!text.empty() && text != "1") {
        log_ignored(target, header, text);
    }
    if (text != "1" || !context.statements.on_leaving(key, context.clock.now())) {
        return false;
    }
    log_statement(context, target, "leaving", {}, "response");
    return true;
}

/// Records for how long the target wants no requests. Returns whether that differs from what was known.
bool record_pause(relay_context& context, host_key key, const relay_target& target, const message_head& head)
{
    const auto text = head.header(retry_after_header);
    if (head.status != unavailable_status || text.empty()) {
        return false;
    }
    const auto wait = parse_retry_after(text);
    if (!wait) {
        log_ignored(target, retry_after_header, text);
        return false;
    }
    if (*wait == time_ms{} || !context.statements.on_pause(key, *wait, context.draw(), context.clock.now())) {
        return false;
    }
    log_statement(context, target, "pause", *wait, "response");
    return true;
}

/// The target of the host with this key. Of a host that is none, only the key is known.
relay_target target_of(const relay_context& context, host_key host)
{
    for (const auto& [name, state] : context.services) {
        if (const auto target = state.board.target_of(host)) {
            return *target;
        }
    }
    relay_target unknown;
    unknown.host = fmt::format("{:016x}", host);
    return unknown;
}

} // namespace

void withdraw_forbidden(relay_context& context)
{
    std::vector<std::shared_ptr<relay_session>> waiting;
    for (const auto& [name, state] : context.services) {
        for (const auto& [target, sessions] : state.sessions) {
            for (auto* session : sessions) {
                if (session->is_unsent()) {
                    waiting.push_back(session->shared_from_this());
                }
            }
        }
    }
    for (const auto& session : waiting) {
        session->withdraw_if_forbidden();
    }
}

void record_statements(relay_context& context, const relay_target& target, const message_head& head)
{
    const auto key = key_of_host(target.host, target.incarnation, target.address);
    const bool is_new_leaving = record_leaving(context, key, target, head);
    const bool is_new_pause = record_pause(context, key, target, head);
    if (is_new_leaving || is_new_pause) {
        apply_statements(context);
    }
}

void merge_statements(relay_context& context, std::span<const host_statement> statements)
{
    bool has_changed = false;
    for (const auto& one : statements) {
        const bool was_leaving = context.statements.is_leaving(one.host);
        if (!context.statements.on_peer_statement(one, context.draw(), context.clock.now())) {
            continue;
        }
        has_changed = true;
        const auto target = target_of(context, one.host);
        if (one.is_leaving && !was_leaving) {
            log_statement(context, target, "leaving", {}, "peer");
        }
        else {
            log_statement(context, target, "pause", one.pause_left, "peer");
        }
    }
    if (has_changed) {
        apply_statements(context);
    }
}

} // namespace coriander
