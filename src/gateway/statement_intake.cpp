#include "gateway/statement_intake.hpp"

#include "gateway/relay_session.hpp"
#include "gateway/target_answer.hpp"
#include "runtime/log.hpp"

#include <memory>
#include <string>
#include <vector>

namespace coriander {
namespace {

/// Applies the statements to all targets. Requests that wait for a connection to a target that may get none
/// now go to another one.
void apply_statements(relay_context& context)
{
    std::vector<std::shared_ptr<relay_session>> waiting;
    for (auto& [name, state] : context.services) {
        state.board.apply_statements();
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
    context.on_statement();
}

void log_statement(const relay_target& target, const char* says)
{
    log_event(event::statement_received, {{"target", target.id},
                                          {"host", target.host},
                                          {"incarnation", target.incarnation},
                                          {"address", target.address},
                                          {"says", says},
                                          {"source", "response"}});
}

void log_ignored(const relay_target& target, std::string_view header, std::string_view value)
{
    constexpr std::size_t max_logged_bytes = 60;
    log_event(event::statement_ignored, {{"target", target.id},
                                         {"host", target.host},
                                         {"header", header},
                                         {"value", value.substr(0, max_logged_bytes)}});
}

} // namespace

void record_statements(relay_context& context, const relay_target& target, const message_head& head)
{
    const auto& header = context.dialect.leaving;
    const auto text = head.header(header);
    if (text.empty()) {
        return;
    }
    if (text != "1") {
        log_ignored(target, header, text);
        return;
    }
    const auto key = key_of_host(target.host, target.incarnation, target.address);
    if (context.statements.on_leaving(key, context.clock.now())) {
        log_statement(target, "leaving");
        context.counters.add("coriander_statements_total", "says=\"leaving\",source=\"response\"");
        apply_statements(context);
    }
}

} // namespace coriander
