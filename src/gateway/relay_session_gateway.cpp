#include "gateway/relay_events.hpp"
#include "gateway/relay_mark.hpp"
#include "gateway/relay_session.hpp"
#include "gateway/target_answer.hpp"

#include <algorithm>

// Requests that are passed on to another gateway, while this one can't reach the service's hosts.
namespace coriander {

void relay_session::check_mark()
{
    const auto& head = this->request.raw.head;
    const auto& dialect = this->context.dialect;
    const auto mark = head.header(dialect.relayed);
    if (mark.empty()) {
        return;
    }
    this->request.is_relayed = is_valid_relay_mark(this->context.relay_key, mark,
                                                   marked_request_of(head, dialect, this->context.name));
    if (!this->request.is_relayed) {
        this->context.counters.add("coriander_rejected_marks_total");
        if (const auto count = this->context.forged.add(this->context.clock.now())) {
            log_rejected_marks(head.header(dialect.attempt_id), *count);
        }
    }
}

std::string relay_session::mark_for(const target_choice& choice, std::string_view deadline_ms) const
{
    auto covered = marked_request_of(this->request.raw.head, this->context.dialect, choice.target.id);
    covered.deadline_ms = deadline_ms;
    return make_relay_mark(choice.gateway_key, this->context.name, covered);
}

bool relay_session::relay_or_refuse()
{
    if (const auto gateway = this->choose_gateway({})) {
        this->send_to(*gateway);
        return true;
    }
    if (!this->request.is_relayed) {
        return false; // All gateways seem to be cut off: the hosts may just take no new connections.
    }
    log_refusal(this->request, local_reply::cut_off, std::nullopt, {{}, short_retry_delay, 0, 0.0});
    this->send_local_reply(local_reply::cut_off, short_retry_delay);
    return true;
}

std::optional<target_choice> relay_session::choose_gateway(std::span<const std::string> excluded)
{
    if (this->request.is_relayed) {
        return std::nullopt; // Otherwise gateways that are cut off could pass it on to each other.
    }
    std::vector<target_choice> candidates;
    for (const auto& [gateway, key] : this->context.relaying_gateways()) {
        if (std::find(excluded.begin(), excluded.end(), gateway.name) != excluded.end()) {
            continue;
        }
        target_choice choice;
        choice.target.id = gateway.name;
        choice.target.address = gateway.http_address;
        choice.target.failure_domain = gateway.failure_domain;
        choice.target.model = this->request.model;
        choice.target.is_gateway = true;
        choice.gateway_key = key;
        candidates.push_back(std::move(choice));
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    const auto drawn =
        static_cast<std::size_t>(this->context.draw() * static_cast<double>(candidates.size()));
    return candidates[std::min(drawn, candidates.size() - 1)];
}

/// The other gateway has made all attempts that the request allows, so that its response is final, unless it
/// has not tried at all.
void relay_session::on_gateway_head(message_head head)
{
    this->current.has_begun = true;
    this->current.begun_at = this->context.clock.now();
    const auto form = this->stream.begun_form();
    const bool is_new_connection = !this->current.was_reused;
    const auto result = classify_relayed_response(
        head, this->context.dialect,
        {this->request.attempt_id, form, this->request.route->kind, is_new_connection});
    this->current.head = std::move(head);
    if (!result) {
        this->drop_held();
        return;
    }
    const bool has_not_tried = *result == attempt_end::not_sent;
    this->end_attempt(*result, has_not_tried ? "the other gateway has not tried"
                                             : "the response does not belong to this request or stream");
}

} // namespace coriander
