#include "coriander/relay/place_keeper.hpp"

#include <algorithm>

namespace coriander {

place_answer place_keeper::decide(const std::string& daemon, const place_request& request,
                                  const std::optional<load_report>& reported, double draw, time_ms now)
{
    this->forget_unused(now);
    auto [entry, is_new] = this->targets.try_emplace(request.target);
    auto& places = entry->second;
    if (is_new) {
        places.slots = std::max<double>(1.0, request.slots);
        places.limit = first_share * places.slots;
    }
    places.used_at = now;
    if (request.tries == 0) { // What is asked for counts once, wherever it is granted.
        places.shares.on_request(request.customer, now);
    }
    std::erase_if(places.granted, [&](const auto& item) { return now - item.second >= max_hold; });
    const double rank = std::min(request.rank, max_rank);
    const double limit = std::max(1.0, places.limit * (1.0 - rank_step * rank));
    const double used = in_use(places, reported, now);
    const bool is_scarce = used >= scarce_share * limit;
    const double fitting = is_scarce ? places.shares.fitting_part(request.customer, limit / used, now) : 1.0;
    const double own_limit = fitting < 1.0 ? excess_share * limit : limit;
    if (used + 1.0 > own_limit || draw >= fitting) {
        return {request.id, false};
    }
    places.granted[{daemon, request.id}] = now;
    places.shares.on_granted(now);
    return {request.id, true};
}

void place_keeper::release(const std::string& daemon, const place_release& given, time_ms now)
{
    const auto found = this->targets.find(given.target);
    if (found == this->targets.end()) {
        return;
    }
    auto& places = found->second;
    const auto used = static_cast<double>(places.granted.size());
    places.granted.erase({daemon, given.id});
    places.used_at = now;
    if (given.timing == answer_timing::late) {
        places.limit = std::max(min_share * places.slots, places.limit - late_step);
    }
    // Answers of a target that is far from full do not show that it could do more.
    else if (given.timing == answer_timing::in_time && used >= scarce_share * places.limit) {
        places.limit = std::min(max_share * places.slots, places.limit + in_time_step);
    }
}

double place_keeper::limit_of(std::uint64_t target, double slots) const
{
    const auto found = this->targets.find(target);
    return found == this->targets.end() ? slots : found->second.limit;
}

std::size_t place_keeper::granted(std::uint64_t target) const
{
    const auto found = this->targets.find(target);
    return found == this->targets.end() ? 0 : found->second.granted.size();
}

double place_keeper::in_use(const target_places& places, const std::optional<load_report>& reported,
                            time_ms now)
{
    const auto granted = static_cast<double>(places.granted.size());
    if (!reported || reported->age > max_report_age) {
        return granted;
    }
    const auto recent = std::count_if(places.granted.begin(), places.granted.end(), [&](const auto& item) {
        return now - item.second < reported->age + report_delay;
    });
    // Requests without a place may run there, and places of daemons that have ended may not be given back.
    constexpr double ended_share = 0.3;
    const auto requests = static_cast<double>(reported->running) + reported->waiting;
    const double least = (1.0 - ended_share) * requests;
    const double most = requests + static_cast<double>(recent);
    return std::clamp(granted, least, most);
}

void place_keeper::forget_unused(time_ms now)
{
    if (now - this->cleaned_at < retention) {
        return;
    }
    this->cleaned_at = now;
    std::erase_if(this->targets, [&](const auto& item) { return now - item.second.used_at >= retention; });
}

} // namespace coriander
