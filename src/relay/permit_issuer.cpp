#include "coriander/relay/permit_issuer.hpp"

#include <algorithm>
#include <cmath>

namespace coriander {
namespace {

constexpr double min_rate = 0.001; // Keeps intervals finite.
constexpr double ms_per_second = 1000.0;

} // namespace

permit_decision permit_issuer::decide(const rate_limit& limit, time_ms now)
{
    const double interval = ms_per_second / std::max(min_rate, limit.per_second);
    const auto now_ms = static_cast<double>(now.count());
    const auto saving = static_cast<double>(max_saving.count());
    const auto [entry, is_new] = this->schedules.try_emplace(limit.target);
    auto& own = entry->second;
    if (is_new) {
        // Another daemon may have issued permits until now, so nothing is saved yet.
        own.next_ms = now_ms + saving;
        this->forget_unused(now);
    }
    own.last_used = now;
    const double due = own.next_ms - saving;
    if (due <= now_ms) {
        own.next_ms = std::max(own.next_ms, now_ms) + interval;
        return {true, {}};
    }
    own.next_ask_ms = std::max(own.next_ask_ms, due);
    const double wait = std::min(own.next_ask_ms - now_ms, static_cast<double>(max_wait.count()));
    own.next_ask_ms = std::min(own.next_ask_ms + interval, now_ms + static_cast<double>(max_wait.count()));
    return {false, time_ms{static_cast<std::int64_t>(std::ceil(wait))}};
}

void permit_issuer::forget_unused(time_ms now)
{
    std::erase_if(this->schedules, [&](const auto& item) {
        return now - item.second.last_used >= retention && item.second.last_used > time_ms{};
    });
}

} // namespace coriander
