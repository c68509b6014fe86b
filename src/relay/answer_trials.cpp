#include "coriander/relay/answer_trials.hpp"

#include <utility>

namespace coriander {

answer_trials::id answer_trials::begin(const std::string& host, std::vector<fingerprint> prints)
{
    auto& added = this->open[++this->last_id];
    added.host = host;
    added.prints = std::move(prints);
    return this->last_id;
}

answer_trials::trial* answer_trials::find(id wanted)
{
    const auto found = this->open.find(wanted);
    return found == this->open.end() ? nullptr : &found->second;
}

void answer_trials::on_started(id trial, time_ms now)
{
    if (auto* one = this->find(trial)) {
        one->has_started = true;
        one->started_at = now;
    }
}

void answer_trials::on_progress(id trial, std::size_t events, time_ms now)
{
    auto* one = this->find(trial);
    if (one == nullptr || !one->has_started) {
        return;
    }
    const auto writing = now - one->started_at;
    const bool is_progressing =
        writing >= this->settings.min_writing_time && events >= this->settings.min_events;
    one->is_cleared = is_progressing || writing >= this->settings.max_crash_delay;
}

void answer_trials::on_complete(id trial, time_ms now)
{
    this->end(trial, phase::complete, now);
}

void answer_trials::on_broken_off(id trial, time_ms now)
{
    this->end(trial, phase::broken_off, now);
}

void answer_trials::end(id ended, phase state, time_ms now)
{
    if (auto* one = this->find(ended)) {
        one->state = state;
        one->ended_at = now;
    }
}

std::vector<cleared_request> answer_trials::take_cleared(time_ms now)
{
    std::vector<cleared_request> cleared;
    std::erase_if(this->open, [&](auto& item) {
        auto& one = item.second;
        const bool has_outlasted_crash =
            one.state != phase::running && now - one.ended_at >= this->settings.max_crash_delay;
        if (one.is_cleared || (one.state == phase::complete && has_outlasted_crash)) {
            cleared.push_back({std::move(one.prints), one.started_at});
            return true;
        }
        return has_outlasted_crash;
    });
    return cleared;
}

std::vector<crash_suspect> answer_trials::take_suspects(const std::string& host, std::uint64_t crash,
                                                        time_ms age)
{
    std::vector<crash_suspect> suspects;
    std::erase_if(this->open, [&](auto& item) {
        auto& one = item.second;
        if (one.host != host) {
            return false;
        }
        if (!one.is_cleared) {
            suspects.push_back({crash, one.has_started, std::move(one.prints), age});
        }
        return true;
    });
    return suspects;
}

} // namespace coriander
