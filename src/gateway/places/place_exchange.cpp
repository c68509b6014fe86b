#include "gateway/places/place_exchange.hpp"

#include <chrono>
#include <utility>

namespace coriander {
namespace {

/// The name under which a keeper knows its own daemon.
const std::string own_daemon;

} // namespace

place_exchange::place_exchange(asio::io_context& loop, keeper_lookup keeper_of, sender send,
                               load_lookup reported, draw_source draw)
    : loop{loop}, find_keeper{std::move(keeper_of)}, send{std::move(send)}, reported{std::move(reported)},
      draw{std::move(draw)}
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
    wanted.id = ++this->last_id;
    const held_place place{wanted.id, wanted.target, this->keeper_of(wanted.target)};
    if (!place.keeper) {
        const auto answer = this->keeper.decide(own_daemon, wanted, this->reported(wanted.target),
                                                this->draw(), this->clock.now());
        done(answer.is_granted ? place_outcome::granted : place_outcome::denied, place);
        return;
    }
    auto timer = std::make_unique<asio::steady_timer>(this->loop);
    timer->expires_after(std::chrono::milliseconds{answer_timeout.count()});
    timer->async_wait([this, id = wanted.id](const asio::error_code& cancelled) {
        if (!cancelled) {
            this->resolve(id, place_outcome::unanswered);
        }
    });
    this->pending[wanted.id] = {std::move(done), place, std::move(timer)};
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
        this->resolve(one.id, one.is_granted ? place_outcome::granted : place_outcome::denied);
    }
}

void place_exchange::resolve(std::uint64_t id, place_outcome outcome)
{
    const auto found = this->pending.find(id);
    if (found == this->pending.end()) {
        return; // The answer is late; a place that it grants is free again after a while.
    }
    const auto done = std::move(found->second.done);
    const auto place = std::move(found->second.place);
    this->pending.erase(found);
    done(outcome, place);
}

} // namespace coriander
