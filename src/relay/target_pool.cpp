#include "coriander/relay/target_pool.hpp"

#include "coriander/digest.hpp"

#include <cmath>
#include <utility>

namespace coriander {
namespace {

/// Turns noise in [0, 1) into a salt of hashes.
constexpr double noise_scale = 1e9;
/// Values that a draw from a hash can have.
constexpr std::uint64_t noise_steps = 1024;

} // namespace

void target_pool::set_targets(std::span<const relay_target> serving)
{
    for (auto& [id, target] : this->targets) {
        target.is_serving = false;
    }
    for (const auto& info : serving) {
        auto& target = this->targets[info.id];
        if (target.info.generation != info.generation || target.info.host != info.host) {
            const auto own = target.own_requests;
            target = target_state{};
            target.own_requests = own;
        }
        const bool is_silence = target.reason == suspension::probed || target.reason == suspension::stalled;
        if (target.info.is_held && !info.is_held && is_silence) {
            target.reason = suspension::none; // Its silent hosts have answered.
            target.suspended_until = {};
        }
        target.info = info;
        target.key = stable_hash(info.id, info.generation);
        target.host = key_of_host(info.host, info.incarnation, info.address);
        target.is_serving = true;
        this->apply_statements(target);
    }
    std::erase_if(this->targets,
                  [](const auto& item) { return !item.second.is_serving && item.second.own_requests == 0; });
}

bool target_pool::is_usable(const target_state& target, std::string_view model, time_ms now)
{
    return target.is_serving && !target.is_leaving && !target.info.is_held && target.info.model == model &&
           now >= std::max(target.suspended_until, target.paused_until);
}

bool target_pool::is_silent(const target_state& target, std::string_view model, time_ms now)
{
    const bool is_suspended = now < target.suspended_until;
    const bool is_probed = is_suspended && target.reason == suspension::probed;
    const bool is_held = target.info.is_held && (!is_suspended || target.reason == suspension::stalled);
    return target.is_serving && !target.is_leaving && target.info.model == model &&
           now >= target.paused_until && (is_probed || is_held);
}

void target_pool::observe(const target_statements& known)
{
    this->statements = &known;
    this->apply_statements();
}

void target_pool::apply_statements()
{
    for (auto& [id, target] : this->targets) {
        this->apply_statements(target);
    }
}

void target_pool::apply_statements(target_state& target) const
{
    if (this->statements == nullptr) {
        return;
    }
    target.is_leaving = this->statements->is_leaving(target.host);
    target.paused_until = this->statements->paused_until(target.host);
}

bool target_pool::may_send(const relay_target& selected, time_ms now) const
{
    const auto found = this->targets.find(selected.id);
    if (found == this->targets.end() || !found->second.is_serving) {
        return false;
    }
    const auto& target = found->second;
    return target.info.generation == selected.generation && target.info.host == selected.host &&
           target.info.incarnation == selected.incarnation && target.info.address == selected.address &&
           !target.is_leaving && now >= target.paused_until && this->share_of(target.info, now) > 0.0;
}

double target_pool::share_of(const relay_target& target, time_ms now) const
{
    if (this->emptied == nullptr || this->emptied->empty()) {
        return 1.0;
    }
    double share = this->emptied->share(target.failure_domain, now);
    for (const auto& domain : target.further_domains) {
        share = std::min(share, this->emptied->share(domain, now));
    }
    return share;
}

std::optional<relay_target> target_pool::target_of(host_key host) const
{
    const auto found = std::find_if(this->targets.begin(), this->targets.end(),
                                    [&](const auto& item) { return item.second.host == host; });
    return found == this->targets.end() ? std::nullopt : std::optional{found->second.info};
}

std::optional<time_ms> target_pool::end_of_pauses(std::string_view model, time_ms now) const
{
    std::optional<time_ms> first;
    for (const auto& [id, target] : this->targets) {
        if (!target.is_serving || target.is_leaving || target.info.model != model) {
            continue;
        }
        if (now >= target.paused_until) {
            return std::nullopt;
        }
        first = std::min(first.value_or(target.paused_until), target.paused_until);
    }
    return first;
}

double target_pool::expected_other_requests(const target_criteria& criteria, time_ms now) const
{
    double reported = 0.0;
    double reporting = 0.0;
    double own = 0.0;
    double target_count = 0.0;
    for (const auto& [id, target] : this->targets) {
        if (!target.is_serving || target.info.model != criteria.model) {
            continue;
        }
        own += target.own_requests;
        target_count += 1.0;
        if (target.load.has_report() && now - target.load.reported_at() <= max_report_age) {
            reported += target.load.others();
            reporting += 1.0;
        }
    }
    const auto daemon_count = static_cast<double>(criteria.daemon_count);
    if (reporting > 0.0) {
        return reported / reporting * (daemon_count - 1.0) / daemon_count;
    }
    return own * (daemon_count - 1.0) / std::max(1.0, target_count);
}

double target_pool::other_requests_on(const target_state& target, double expected, time_ms now)
{
    return target.load.others_at(now, load_half_life, expected);
}

std::optional<target_choice> target_pool::choose(const target_criteria& criteria, double noise,
                                                 time_ms now) const
{
    // One draw for all targets of a domain, so that the domain gets its share whatever their number.
    const auto salt = static_cast<std::uint64_t>(noise * noise_scale);
    const auto is_drawn = [&](const target_state& target) {
        const double share = this->share_of(target.info, now);
        const auto drawn = stable_hash(target.info.failure_domain, ~salt) % noise_steps;
        return share >= 1.0 || static_cast<double>(drawn) < share * noise_steps;
    };
    const auto is_open = [&](const target_state& target) { return this->share_of(target.info, now) > 0.0; };
    auto choice = this->choose_if(criteria, noise, now,
                                  [&](const target_state& target, std::string_view model, time_ms at) {
                                      return is_usable(target, model, at) && is_drawn(target);
                                  });
    if (!choice && this->emptied != nullptr && !this->emptied->empty()) {
        choice = this->choose_if(criteria, noise, now,
                                 [&](const target_state& target, std::string_view model, time_ms at) {
                                     return is_usable(target, model, at) && is_open(target);
                                 });
    }
    if (!choice && criteria.includes_silent) {
        choice = this->choose_if(criteria, noise, now,
                                 [&](const target_state& target, std::string_view model, time_ms at) {
                                     return is_silent(target, model, at) && is_open(target);
                                 });
        if (choice) {
            choice->is_silent = true;
        }
    }
    return choice;
}

template <typename Predicate>
std::optional<target_choice> target_pool::choose_if(const target_criteria& criteria, double noise,
                                                    time_ms now, Predicate is_eligible) const
{
    const target_state* best = nullptr;
    double best_score = 0.0;
    double best_others = 0.0;
    const double expected = this->expected_other_requests(criteria, now);
    const double spread = spread_cost * (1.0 - 1.0 / static_cast<double>(criteria.daemon_count));
    const auto salt = static_cast<std::uint64_t>(noise * noise_scale);
    for (const auto& [id, target] : this->targets) {
        const bool was_tried =
            std::find(criteria.tried.begin(), criteria.tried.end(), id) != criteria.tried.end();
        const bool has_no_permit = now < target.deferred_until ||
                                   (criteria.excludes_limited && limit_in_force(target, now).has_value());
        if (was_tried || has_no_permit || !is_eligible(target, criteria.model, now)) {
            continue;
        }
        const double drawn = (0.5 + static_cast<double>(stable_hash(id, salt) % noise_steps)) / noise_steps;
        const double others = other_requests_on(target, expected, now);
        const double load = (target.own_requests + others) / std::max(1U, target.info.slots);
        const double domain_cost =
            target.info.failure_domain == criteria.preferred_domain ? 0.0 : cross_domain_cost;
        // The minimum of costs with Gumbel noise is a random choice whose weights fall exponentially with the
        // cost.
        const double noise = noise_cost * drawn + spread * std::log(-std::log(drawn));
        const double score = load + domain_cost + noise;
        if (best == nullptr || score < best_score) {
            best = &target;
            best_score = score;
            best_others = others;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return target_choice{best->info, best->own_requests, best_others};
}

std::size_t target_pool::count(std::string_view model, time_ms now) const
{
    return static_cast<std::size_t>(
        std::count_if(this->targets.begin(), this->targets.end(), [&](const auto& item) {
            return is_usable(item.second, model, now) && this->share_of(item.second.info, now) > 0.0;
        }));
}

double target_pool::capacity(std::string_view model, double full_rate, time_ms now) const
{
    double total = 0.0;
    for (const auto& [id, target] : this->targets) {
        if (is_usable(target, model, now)) {
            const auto limit = limit_in_force(target, now);
            const bool is_partial = limit && limit->per_second < full_rate;
            const double share = this->share_of(target.info, now);
            total += share * (is_partial ? limit->per_second / full_rate : 1.0);
        }
    }
    return total;
}

bool target_pool::is_cold(const target_state& target, time_ms now)
{
    return target.info.cold_rate > 0.0 && now < target.info.cold_until;
}

std::optional<rate_limit> target_pool::limit_in_force(const target_state& target, time_ms now)
{
    std::optional<rate_limit> limit;
    if (has_stated_limit(target, now)) {
        limit = limit_report(target, now);
    }
    const double cold_rate = cold_rate_share * target.info.cold_rate;
    if (is_cold(target, now) && (!limit || cold_rate < limit->per_second)) {
        // By host, since the cold time is the host's, whatever replica it leads.
        limit = rate_limit{target.host, cold_rate, {}};
    }
    return limit;
}

std::size_t target_pool::count_cold(time_ms now) const
{
    return static_cast<std::size_t>(
        std::count_if(this->targets.begin(), this->targets.end(),
                      [&](const auto& item) { return item.second.is_serving && is_cold(item.second, now); }));
}

bool target_pool::has_stated_limit(const target_state& target, time_ms now)
{
    return target.limit_stated_at && target.limit_per_second > 0.0 &&
           now - *target.limit_stated_at < max_limit_age;
}

void target_pool::set_limit(target_state& target, double per_second, time_ms stated_at)
{
    target.limit_stated_at = stated_at;
    target.limit_per_second = per_second;
    if (per_second == 0.0) {
        target.deferred_until = {};
    }
}

rate_limit target_pool::limit_report(const target_state& target, time_ms now)
{
    return {target.key, target.limit_per_second, now - *target.limit_stated_at};
}

void target_pool::on_rate_limit(const std::string& id, std::optional<double> per_second, time_ms now)
{
    auto* target = this->find(id);
    if (target != nullptr && (per_second || target->limit_stated_at)) {
        set_limit(*target, per_second.value_or(0.0), now);
    }
}

void target_pool::on_peer_rate_limit(const rate_limit& limit, time_ms now)
{
    auto* target = this->find_by_key(limit.target);
    const auto stated_at = now - limit.age;
    const bool is_newer =
        target != nullptr && (!target->limit_stated_at || *target->limit_stated_at < stated_at);
    if (is_newer && limit.age < max_limit_age) {
        set_limit(*target, limit.per_second, stated_at);
    }
}

std::optional<rate_limit> target_pool::limit_of(const std::string& id, time_ms now) const
{
    const auto found = this->targets.find(id);
    return found == this->targets.end() ? std::nullopt : limit_in_force(found->second, now);
}

std::vector<rate_limit> target_pool::rate_limits(time_ms now) const
{
    std::vector<rate_limit> known;
    for (const auto& [id, target] : this->targets) {
        if (target.is_serving && target.limit_stated_at && now - *target.limit_stated_at < max_limit_age) {
            known.push_back(limit_report(target, now));
        }
    }
    return known;
}

void target_pool::defer(const std::string& id, time_ms until)
{
    if (auto* target = this->find(id)) {
        target->deferred_until = until;
    }
}

target_pool::target_state* target_pool::find(const std::string& id)
{
    const auto found = this->targets.find(id);
    return found == this->targets.end() ? nullptr : &found->second;
}

const target_pool::target_state* target_pool::find_by_key(std::uint64_t key) const
{
    const auto found = std::find_if(this->targets.begin(), this->targets.end(),
                                    [&](const auto& item) { return item.second.key == key; });
    return found == this->targets.end() ? nullptr : &found->second;
}

target_pool::target_state* target_pool::find_by_key(std::uint64_t key)
{
    const auto* found = std::as_const(*this).find_by_key(key);
    return found == nullptr ? nullptr : this->find(found->info.id);
}

void target_pool::on_sent(const std::string& id, time_ms now)
{
    if (auto* target = this->find(id)) {
        ++target->own_requests;
        target->stalls.on_sent(now);
    }
}

void target_pool::on_response_started(const std::string& id, time_ms now)
{
    if (auto* target = this->find(id)) {
        target->stalls.on_progress(now);
        target->stalls.on_response_started();
    }
}

void target_pool::on_progress(const std::string& id, time_ms now)
{
    if (auto* target = this->find(id)) {
        target->stalls.on_progress(now);
    }
}

void target_pool::on_ended(const std::string& id, bool had_started, bool is_failure, time_ms now)
{
    auto* target = this->find(id);
    if (target == nullptr) {
        return;
    }
    target->own_requests -= target->own_requests > 0 ? 1 : 0;
    target->stalls.on_ended(had_started);
    target->consecutive_failures = is_failure ? target->consecutive_failures + 1 : 0;
    if (target->consecutive_failures >= failure_limit) {
        const auto doublings = std::min(target->consecutive_failures - failure_limit, max_doublings);
        target->reason = suspension::failing;
        target->suspended_until = now + failure_suspension * (1LL << doublings);
    }
    if (!target->is_serving && target->own_requests == 0) {
        this->targets.erase(id);
    }
}

void target_pool::on_load(const std::string& id, std::uint32_t running, std::uint32_t waiting, time_ms now)
{
    if (auto* target = this->find(id)) {
        target->load.on_report(running, waiting, target->own_requests, now);
    }
}

std::optional<std::uint64_t> target_pool::key_of(const std::string& id) const
{
    const auto found = this->targets.find(id);
    return found == this->targets.end() ? std::nullopt : std::optional{found->second.key};
}

load_report target_pool::report_of(const target_state& target, time_ms now)
{
    return {target.key, target.load.running(), target.load.queued(), now - target.load.reported_at()};
}

std::optional<load_report> target_pool::report_of(std::uint64_t key, time_ms now) const
{
    const auto* target = this->find_by_key(key);
    return target != nullptr && target->load.has_report() ? std::optional{report_of(*target, now)}
                                                          : std::nullopt;
}

void target_pool::on_peer_report(const load_report& report, time_ms now)
{
    if (auto* target = this->find_by_key(report.target)) {
        target->load.on_report(report.running, report.waiting, target->own_requests, now - report.age);
    }
}

std::vector<load_report> target_pool::reports(std::size_t limit, time_ms now) const
{
    std::vector<load_report> all;
    for (const auto& [id, target] : this->targets) {
        const bool is_recent = now - target.load.reported_at() <= max_report_age;
        if (target.is_serving && target.load.has_report() && is_recent) {
            all.push_back(report_of(target, now));
        }
    }
    std::sort(all.begin(), all.end(), [](const auto& a, const auto& b) { return a.age < b.age; });
    all.resize(std::min(all.size(), limit));
    return all;
}

void target_pool::suspend(const std::string& id, suspension reason, time_ms until)
{
    if (auto* target = this->find(id)) {
        target->reason = until > target->suspended_until ? reason : target->reason;
        target->suspended_until = std::max(target->suspended_until, until);
    }
}

void target_pool::restore(const std::string& id)
{
    if (auto* target = this->find(id)) {
        target->reason = suspension::none;
        target->suspended_until = {};
        target->consecutive_failures = 0;
    }
}

void target_pool::forget_failures(time_ms now)
{
    for (const auto& [id, target] : this->targets) {
        this->restore(id);
    }
    this->reset_silence(now);
}

bool target_pool::is_suspect(const std::string& id, time_ms now) const
{
    const auto found = this->targets.find(id);
    return found != this->targets.end() && found->second.stalls.is_suspect(now);
}

time_ms target_pool::silence(const std::string& id, time_ms now) const
{
    const auto found = this->targets.find(id);
    return found == this->targets.end() ? time_ms{} : found->second.stalls.silence(now);
}

std::vector<relay_target> target_pool::suspects(time_ms now) const
{
    std::vector<relay_target> found;
    for (const auto& [id, target] : this->targets) {
        if (now >= target.suspended_until && target.stalls.is_suspect(now)) {
            found.push_back(target.info);
        }
    }
    return found;
}

void target_pool::reset_silence(time_ms now)
{
    for (auto& [id, target] : this->targets) {
        target.stalls.reset_silence(now);
    }
}

std::uint32_t target_pool::own_requests(const std::string& id) const
{
    const auto found = this->targets.find(id);
    return found == this->targets.end() ? 0 : found->second.own_requests;
}

bool target_pool::is_listed(const std::string& id) const
{
    const auto found = this->targets.find(id);
    return found != this->targets.end() && found->second.is_serving;
}

} // namespace coriander
