#include "coriander/digest.hpp"
#include "gateway/relay_events.hpp"
#include "gateway/relay_session.hpp"

#include <algorithm>
#include <limits>
#include <utility>

// Places that requests need at their targets.
namespace coriander {
namespace {

/// Targets that may have no place for a request before it is refused.
constexpr unsigned max_denied_places = 6;
/// How long a target without a place is left out of the choice.
constexpr time_ms full_target_pause = 100_ms;

} // namespace

bool relay_session::needs_place(const target_choice& choice) const
{
    return this->context.keeps_places && !choice.target.is_gateway && !choice.is_silent &&
           !choice.target.model.empty();
}

void relay_session::ask_for_place(const target_choice& choice)
{
    const auto& customer = this->request.customer;
    const auto& route = *this->request.route;
    const auto priority = customer == nullptr ? route.priority : customer->priority.value_or(route.priority);
    constexpr unsigned most_slots = std::numeric_limits<std::uint16_t>::max();
    constexpr unsigned most_priority = std::numeric_limits<std::uint8_t>::max();
    place_request wanted;
    wanted.target = this->state->board.key_of(choice.target.id).value_or(0);
    wanted.customer = stable_hash(customer == nullptr ? std::string_view{} : customer->name);
    wanted.slots = static_cast<std::uint16_t>(std::min(most_slots, choice.target.slots));
    wanted.tries = static_cast<std::uint8_t>(this->denied_places);
    wanted.rank = static_cast<std::uint8_t>(std::min(most_priority, priority));
    this->context.request_place(wanted, [weak = this->weak_from_this(), &context = this->context,
                                         choice](place_outcome outcome, const held_place& place) {
        const auto session = weak.lock();
        if (session && !session->has_ended) {
            session->on_place(choice, outcome, place);
        }
        else if (outcome == place_outcome::granted) {
            context.release_place(place, answer_timing::unknown);
        }
    });
}

void relay_session::on_place(const target_choice& choice, place_outcome outcome, const held_place& place)
{
    const auto now = this->context.clock.now();
    const char* result = outcome == place_outcome::granted  ? "granted"
                         : outcome == place_outcome::denied ? "denied"
                                                            : "unanswered";
    this->context.counters.add("coriander_places_total", std::string{"result=\""} + result + "\"");
    if (outcome == place_outcome::granted) {
        this->next_place = place;
    }
    if (this->request.deadline <= now) {
        this->give_next_place_back();
        this->end_without_target();
        return;
    }
    // A keeper that does not answer may be lost: without it, this daemon's own view has to do.
    if (outcome != place_outcome::denied) {
        this->dispatch(choice);
        return;
    }
    this->state->board.defer(choice.target.id, now + full_target_pause);
    if (++this->denied_places < max_denied_places) {
        this->choose_again();
        return;
    }
    this->end_without_place();
}

void relay_session::end_without_place()
{
    if (this->last_end) {
        this->end_without_target();
        return;
    }
    const auto now = this->context.clock.now();
    auto& meter = this->state->meters[this->request.model];
    meter.on_refused(now);
    const auto wait = retry_after_refusal({}, meter.refused_share(now));
    log_refusal(this->request, local_reply::overloaded, std::nullopt,
                {{}, wait, this->state->board.count(this->target_model(), now), 0.0});
    this->send_local_reply(local_reply::overloaded, wait);
}

answer_timing relay_session::timing_of(const attempt& done) const
{
    const auto& route = *this->request.route;
    const bool shows_timing =
        route.is_stream && route.latency_objective > time_ms{} && done.events_before == 0;
    if (!shows_timing) {
        return answer_timing::unknown;
    }
    if (this->stream.has_begun() && this->stream.begun_at() >= done.sent_at) {
        return this->stream.begun_at() - done.sent_at <= route.latency_objective ? answer_timing::in_time
                                                                                 : answer_timing::late;
    }
    const auto waited = this->context.clock.now() - done.sent_at;
    return waited > route.latency_objective ? answer_timing::late : answer_timing::unknown;
}

void relay_session::give_place_back(attempt& done)
{
    if (const auto place = std::exchange(done.place, std::nullopt)) {
        this->context.release_place(*place, this->timing_of(done));
    }
}

void relay_session::give_next_place_back()
{
    if (const auto place = std::exchange(this->next_place, std::nullopt)) {
        this->context.release_place(*place, answer_timing::unknown);
    }
}

} // namespace coriander
