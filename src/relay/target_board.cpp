#include "coriander/relay/target_board.hpp"

#include "coriander/digest.hpp"

namespace coriander {

void target_board::set_targets(std::span<const relay_target> serving)
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
        one.is_serving = true;
    }
    std::erase_if(this->targets,
                  [](const auto& item) { return !item.second.is_serving && item.second.own == 0; });
}

bool target_board::is_usable(const target_state& one, std::string_view model, time_ms now)
{
    return one.is_serving && one.info.model == model && now >= one.suspended_until;
}

double target_board::others_on(const target_state& one, std::size_t daemons, time_ms now)
{
    const double expected = static_cast<double>(one.own) * static_cast<double>(daemons - 1);
    return one.load.others_at(now, load_half_life, expected);
}

std::optional<target_choice> target_board::choose(const target_wish& wish, double noise, time_ms now) const
{
    const target_state* best = nullptr;
    double best_score = 0.0;
    const auto salt = static_cast<std::uint64_t>(noise * 1e9);
    for (const auto& [id, one] : this->targets) {
        const bool was_tried = std::find(wish.tried.begin(), wish.tried.end(), id) != wish.tried.end();
        if (was_tried || !is_usable(one, wish.model, now)) {
            continue;
        }
        constexpr std::uint64_t noise_steps = 1024;
        const double drawn = static_cast<double>(stable_hash(id, salt) % noise_steps) / noise_steps;
        const double others = others_on(one, wish.daemons, now);
        const double share = (one.own + others) / std::max(1U, one.info.slots);
        const double far = one.info.failure_domain == wish.near ? 0.0 : distance_cost;
        const double score = share + far + noise_cost * drawn;
        if (best == nullptr || score < best_score) {
            best = &one;
            best_score = score;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return target_choice{best->info, best->own, others_on(*best, wish.daemons, now)};
}

std::size_t target_board::count(std::string_view model, time_ms now) const
{
    return static_cast<std::size_t>(
        std::count_if(this->targets.begin(), this->targets.end(),
                      [&](const auto& item) { return is_usable(item.second, model, now); }));
}

target_board::target_state* target_board::find(const std::string& id)
{
    const auto found = this->targets.find(id);
    return found == this->targets.end() ? nullptr : &found->second;
}

void target_board::on_sent(const std::string& id, time_ms now)
{
    if (auto* one = this->find(id)) {
        ++one->own;
        one->progress.on_sent(now);
    }
}

void target_board::on_begun(const std::string& id, time_ms now)
{
    if (auto* one = this->find(id)) {
        one->progress.on_progress(now);
        one->progress.on_begun();
    }
}

void target_board::on_progress(const std::string& id, time_ms now)
{
    if (auto* one = this->find(id)) {
        one->progress.on_progress(now);
    }
}

void target_board::on_ended(const std::string& id, bool had_begun, bool is_failure, time_ms now)
{
    auto* one = this->find(id);
    if (one == nullptr) {
        return;
    }
    one->own -= one->own > 0 ? 1 : 0;
    one->progress.on_ended(had_begun);
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

void target_board::on_load(const std::string& id, std::uint32_t running, std::uint32_t waiting, time_ms now)
{
    if (auto* one = this->find(id)) {
        one->load.on_report(running, waiting, one->own, now);
    }
}

void target_board::suspend(const std::string& id, suspension reason, time_ms until)
{
    if (auto* one = this->find(id)) {
        one->reason = reason;
        one->suspended_until = std::max(one->suspended_until, until);
    }
}

void target_board::restore(const std::string& id)
{
    if (auto* one = this->find(id)) {
        one->reason = suspension::none;
        one->suspended_until = {};
        one->failures = 0;
    }
}

bool target_board::is_suspect(const std::string& id, time_ms now) const
{
    const auto found = this->targets.find(id);
    return found != this->targets.end() && found->second.progress.is_suspect(now);
}

time_ms target_board::silence(const std::string& id, time_ms now) const
{
    const auto found = this->targets.find(id);
    return found == this->targets.end() ? time_ms{} : found->second.progress.silence(now);
}

std::vector<relay_target> target_board::suspects(time_ms now) const
{
    std::vector<relay_target> found;
    for (const auto& [id, one] : this->targets) {
        if (now >= one.suspended_until && one.progress.is_suspect(now)) {
            found.push_back(one.info);
        }
    }
    return found;
}

void target_board::forgive_silence(time_ms now)
{
    for (auto& [id, one] : this->targets) {
        one.progress.forgive(now);
    }
}

std::uint32_t target_board::own_requests(const std::string& id) const
{
    const auto found = this->targets.find(id);
    return found == this->targets.end() ? 0 : found->second.own;
}

bool target_board::is_listed(const std::string& id) const
{
    const auto found = this->targets.find(id);
    return found != this->targets.end() && found->second.is_serving;
}

} // namespace coriander
