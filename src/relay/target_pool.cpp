#include "coriander/relay/target_pool.hpp"

#include "coriander/digest.hpp"

#include <cmath>

namespace coriander {

void target_pool::set_targets(std::span<const relay_target> serving)
{
    for (auto& [id, one] : this->targets) {
        one.is_serving = false;
    }
    for (const auto& info : serving) {
        auto& one = this->targets[info.id];
        if (one.info.generation != info.generation || one.info.host != info.host) {
            const auto own = one.own;
            one = target_state{};
            one.own = own;
        }
        one.info = info;
        one.key = stable_hash(info.id, info.generation);
        one.is_serving = true;
    }
    std::erase_if(this->targets,
                  [](const auto& item) { return !item.second.is_serving && item.second.own == 0; });
}

bool target_pool::is_usable(const target_state& one, std::string_view model, time_ms now)
{
    return one.is_serving && one.info.model == model && now >= one.suspended_until;
}

double target_pool::usual_others(const target_criteria& wish, time_ms now) const
{
    double told = 0.0;
    double tellers = 0.0;
    double own = 0.0;
    double known = 0.0;
    for (const auto& [id, one] : this->targets) {
        if (!one.is_serving || one.info.model != wish.model) {
            continue;
        }
        own += one.own;
        known += 1.0;
        if (one.load.has_report() && now - one.load.reported_at() <= load_horizon) {
            told += one.load.others();
            tellers += 1.0;
        }
    }
    const auto daemons = static_cast<double>(wish.daemons);
    if (tellers > 0.0) {
        return told / tellers * (daemons - 1.0) / daemons;
    }
    return own * (daemons - 1.0) / std::max(1.0, known);
}

double target_pool::others_on(const target_state& one, double usual, time_ms now)
{
    return one.load.others_at(now, load_half_life, usual);
}

std::optional<target_choice> target_pool::choose(const target_criteria& wish, double noise, time_ms now) const
{
    const target_state* best = nullptr;
    double best_score = 0.0;
    double best_others = 0.0;
    const double usual = this->usual_others(wish, now);
    const double spread = spread_cost * (1.0 - 1.0 / static_cast<double>(wish.daemons));
    const auto salt = static_cast<std::uint64_t>(noise * 1e9);
    for (const auto& [id, one] : this->targets) {
        const bool was_tried = std::find(wish.tried.begin(), wish.tried.end(), id) != wish.tried.end();
        if (was_tried || !is_usable(one, wish.model, now)) {
            continue;
        }
        constexpr std::uint64_t noise_steps = 1024;
        const double drawn = (0.5 + static_cast<double>(stable_hash(id, salt) % noise_steps)) / noise_steps;
        const double others = others_on(one, usual, now);
        const double share = (one.own + others) / std::max(1U, one.info.slots);
        const double far = one.info.failure_domain == wish.near ? 0.0 : distance_cost;
        // The least of costs with Gumbel noise: a choice with weights that fall exponentially with the cost.
        const double noise = noise_cost * drawn + spread * std::log(-std::log(drawn));
        const double score = share + far + noise;
        if (best == nullptr || score < best_score) {
            best = &one;
            best_score = score;
            best_others = others;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return target_choice{best->info, best->own, best_others};
}

std::size_t target_pool::count(std::string_view model, time_ms now) const
{
    return static_cast<std::size_t>(
        std::count_if(this->targets.begin(), this->targets.end(),
                      [&](const auto& item) { return is_usable(item.second, model, now); }));
}

target_pool::target_state* target_pool::find(const std::string& id)
{
    const auto found = this->targets.find(id);
    return found == this->targets.end() ? nullptr : &found->second;
}

void target_pool::on_sent(const std::string& id, time_ms now)
{
    if (auto* one = this->find(id)) {
        ++one->own;
        one->progress.on_sent(now);
    }
}

void target_pool::on_response_started(const std::string& id, time_ms now)
{
    if (auto* one = this->find(id)) {
        one->progress.on_progress(now);
        one->progress.on_response_started();
    }
}

void target_pool::on_progress(const std::string& id, time_ms now)
{
    if (auto* one = this->find(id)) {
        one->progress.on_progress(now);
    }
}

void target_pool::on_ended(const std::string& id, bool had_started, bool is_failure, time_ms now)
{
    auto* one = this->find(id);
    if (one == nullptr) {
        return;
    }
    one->own -= one->own > 0 ? 1 : 0;
    one->progress.on_ended(had_started);
    one->failures = is_failure ? one->failures + 1 : 0;
    if (one->failures >= failure_limit) {
        const auto doublings = std::min(one->failures - failure_limit, max_doublings);
        one->reason = suspension::failing;
        one->suspended_until = now + failure_pause * (1LL << doublings);
    }
    if (!one->is_serving && one->own == 0) {
        this->targets.erase(id);
    }
}

void target_pool::on_load(const std::string& id, std::uint32_t running, std::uint32_t waiting, time_ms now)
{
    if (auto* one = this->find(id)) {
        one->load.on_report(running, waiting, one->own, now);
    }
}

void target_pool::on_peer_report(const load_report& report, time_ms now)
{
    const auto found = std::find_if(this->targets.begin(), this->targets.end(),
                                    [&](const auto& item) { return item.second.key == report.target; });
    if (found != this->targets.end()) {
        auto& one = found->second;
        one.load.on_report(report.running, report.waiting, one.own, now - report.age);
    }
}

std::vector<load_report> target_pool::reports(std::size_t limit, time_ms now) const
{
    std::vector<load_report> all;
    for (const auto& [id, one] : this->targets) {
        const auto age = now - one.load.reported_at();
        if (one.is_serving && one.load.has_report() && age <= load_horizon) {
            all.push_back({one.key, one.load.running(), one.load.queued(), age});
        }
    }
    std::sort(all.begin(), all.end(), [](const auto& a, const auto& b) { return a.age < b.age; });
    all.resize(std::min(all.size(), limit));
    return all;
}

void target_pool::suspend(const std::string& id, suspension reason, time_ms until)
{
    if (auto* one = this->find(id)) {
        one->reason = reason;
        one->suspended_until = std::max(one->suspended_until, until);
    }
}

void target_pool::restore(const std::string& id)
{
    if (auto* one = this->find(id)) {
        one->reason = suspension::none;
        one->suspended_until = {};
        one->failures = 0;
    }
}

bool target_pool::is_suspect(const std::string& id, time_ms now) const
{
    const auto found = this->targets.find(id);
    return found != this->targets.end() && found->second.progress.is_suspect(now);
}

time_ms target_pool::silence(const std::string& id, time_ms now) const
{
    const auto found = this->targets.find(id);
    return found == this->targets.end() ? time_ms{} : found->second.progress.silence(now);
}

std::vector<relay_target> target_pool::suspects(time_ms now) const
{
    std::vector<relay_target> found;
    for (const auto& [id, one] : this->targets) {
        if (now >= one.suspended_until && one.progress.is_suspect(now)) {
            found.push_back(one.info);
        }
    }
    return found;
}

void target_pool::reset_silence(time_ms now)
{
    for (auto& [id, one] : this->targets) {
        one.progress.reset_silence(now);
    }
}

std::uint32_t target_pool::own_requests(const std::string& id) const
{
    const auto found = this->targets.find(id);
    return found == this->targets.end() ? 0 : found->second.own;
}

bool target_pool::is_listed(const std::string& id) const
{
    const auto found = this->targets.find(id);
    return found != this->targets.end() && found->second.is_serving;
}

} // namespace coriander
