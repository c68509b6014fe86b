#include "gateway/places/place_exchange.hpp"

#include <utility>

namespace coriander {
namespace {

/// The name under which a keeper knows its own daemon.
const std::string own_daemon;

place_outcome outcome_of(const place_answer& answer)
{
    return answer.is_granted ? place_outcome::granted : place_outcome::denied;
}

} // namespace

place_exchange::place_exchange(asio::io_context& loop, keeper_lookup keeper_of, sender send,
                               load_lookup reported, draw_source draw)
    : find_keeper{std::move(keeper_of)}, send{std::move(send)}, reported{std::move(reported)},
      draw{std::move(draw)}, pending{loop}
{
}

const std::optional<std::string>& place_exchange::keeper_of(std::uint64_t target)
{
    constexpr std::size_t max_targets = 4096;
    const auto now = this->clock.now();
    if (this->keepers.size() > max_targets) {
        this->keepers.clear();
    }
    const auto [entry, is_new] = this->keepers.try_emplace(target);
    auto& known = entry->second;
    if (is_new || now - known.found_at >= address_validity) {
        known = {this->find_keeper(target), now};
    }
    return known.address;
}

void place_exchange::request(place_request wanted, on_decision done)
{
    wanted.id = this->pending.new_id();
    const held_place place{wanted.id, wanted.target, this->keeper_of(wanted.target)};
    if (!place.keeper) {
        const auto answer = this->keeper.decide(own_daemon, wanted, this->reported(wanted.target),
                                                this->draw(), this->clock.now());
        done(outcome_of(answer), place);
        return;
    }
    this->pending.wait_for(wanted.id, answer_timeout, place_outcome::unanswered,
                           [done = std::move(done), place](place_outcome outcome) { done(outcome, place); });
    place_message message;
    message.requests = {wanted};
    this->send(*place.keeper, message);
}

void place_exchange::release(const held_place& place, answer_timing timing)
{
    const place_release given{place.id, place.target, timing};
    if (!place.keeper) {
        this->keeper.release(own_daemon, given, this->clock.now());
        return;
    }
    place_message message;
    message.releases = {given};
    this->send(*place.keeper, message);
}

void place_exchange::receive(const std::string& from, const place_message& message)
{
    const auto now = this->clock.now();
    for (const auto& one : message.releases) {
        this->keeper.release(from, one, now);
    }
    place_message answers;
    for (const auto& one : message.requests) {
        answers.answers.push_back(
            this->keeper.decide(from, one, this->reported(one.target), this->draw(), now));
    }
    if (!answers.answers.empty()) {
        this->send(from, answers);
    }
    for (const auto& one : message.answers) {
        // A place that a late answer grants is free again after a while.
        this->pending.resolve(one.id, outcome_of(one));
    }
}

} // namespace coriander
