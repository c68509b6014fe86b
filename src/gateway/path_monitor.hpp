#pragma once

#include "coriander/clock.hpp"
#include "coriander/digest.hpp"
#include "gateway/controller_io.hpp"
#include "gateway/fleet_view.hpp"
#include "gateway/path_check.hpp"
#include "net/port_check.hpp"
#include "runtime/log.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace coriander {

/// Sizes and timeouts of a `path_monitor`.
struct path_monitor_settings {
    std::size_t references = 4; ///< Hosts that a round contacts.
    /// Rounds without an answer, each with other hosts, after which the path counts as lost.
    unsigned rounds_to_lose = 2;
    /// Consecutive rounds with an answer after which it counts as restored.
    unsigned rounds_to_restore = 2;
    time_ms answer_validity{100}; ///< How long an answer shows that the path works.
    time_ms connect_timeout{60};  ///< Several round trips between the most distant failure domains.
};

/// Knows whether this daemon has a path to the hosts of each service. What one daemon sees of a host is a
/// fact about its path first; it is evidence against the host only if other hosts can be reached at the same
/// time. Not thread-safe: used on the event loop's thread only.
template <controller_io Io>
class path_monitor {
public:
    /// Called when the path to a service was lost or restored.
    using on_change = std::function<void(const std::string& service)>;

    path_monitor(Io& io, const fleet_view& view, on_change notify, path_monitor_settings settings = {})
        : io{io}, view{view}, notify{std::move(notify)}, settings{settings}
    {
    }
    path_monitor(const path_monitor&) = delete;
    path_monitor& operator=(const path_monitor&) = delete;

    /// Contacts other hosts of the suspect's service, from now on, and calls `done` with whether one of them
    /// accepted a connection. While the path is known to be lost, calls it at once.
    void check(const listed_host& suspect, on_path_checked done)
    {
        auto& service = this->services[suspect.service];
        if (service.is_cut) {
            ++service.ignored;
            done(false);
            return;
        }
        service.waiting.push_back({suspect.id, std::move(done)});
        if (!service.is_checking) {
            this->begin_check(suspect.service, service);
        }
    }

    /// The same for a request that could not be sent, after which a recent answer is good enough: failures
    /// may be frequent, and each check opens connections.
    void check_recent(const listed_host& suspect, on_path_checked done)
    {
        const auto found = this->services.find(suspect.service);
        const bool is_recent =
            found != this->services.end() && found->second.answered_at &&
            this->clock.now() - *found->second.answered_at < this->settings.answer_validity;
        if (is_recent) {
            done(true);
            return;
        }
        this->check(suspect, std::move(done));
    }

    /// Contacts hosts of the services to which the path is lost. Call several times a second.
    void recheck()
    {
        for (auto& [name, service] : this->services) {
            if (service.is_cut && !std::exchange(service.is_checking, true)) {
                this->contact(name, {},
                              [this, name = name](bool has_answer) { this->on_rechecked(name, has_answer); });
            }
        }
    }

    /// Whether the path to the service's hosts is lost.
    [[nodiscard]] bool is_cut(const std::string& service) const
    {
        const auto found = this->services.find(service);
        return found != this->services.end() && found->second.is_cut;
    }

    /// Whether the path to the hosts of any service is lost.
    [[nodiscard]] bool is_cut() const
    {
        return std::any_of(this->services.begin(), this->services.end(),
                           [](const auto& item) { return item.second.is_cut; });
    }

private:
    struct question {
        std::string suspect;
        on_path_checked done;
    };

    struct service_paths {
        std::vector<question> asking;  ///< Answered by the check in progress.
        std::vector<question> waiting; ///< Came after it began, and need one of their own.
        bool is_checking = false;
        bool is_cut = false;
        time_ms cut_at;
        std::optional<time_ms> answered_at; ///< When the last check found that the path works.
        unsigned answered_rounds = 0;
        std::size_t ignored = 0; ///< Evidence that did not count.
    };

    void begin_check(const std::string& name, service_paths& service)
    {
        service.is_checking = true;
        service.asking = std::exchange(service.waiting, {});
        this->run_round(name, 1);
    }

    void run_round(const std::string& name, unsigned number)
    {
        std::set<std::string> suspects;
        for (const auto& one : this->services[name].asking) {
            suspects.insert(one.suspect);
        }
        this->contact(name, suspects, [this, name, number](bool has_answer) {
            if (!has_answer && number < this->settings.rounds_to_lose) {
                this->run_round(name, number + 1);
                return;
            }
            this->conclude(name, has_answer);
        });
    }

    /// Opens connections to some hosts and calls `done` with whether one was accepted: at the first that is,
    /// or at the end. Without a host to contact nothing speaks against the path.
    template <typename Done>
    void contact(const std::string& service, const std::set<std::string>& excluded, Done done)
    {
        const auto hosts = this->choose_references(service, excluded);
        if (hosts.empty()) {
            done(true);
            return;
        }
        const auto open = std::make_shared<std::size_t>(hosts.size());
        for (const auto& host : hosts) {
            this->io.check_port(host, this->settings.connect_timeout, [open, done](port_state state) {
                if (*open == 0) {
                    return; // Already concluded.
                }
                *open = state == port_state::open ? 0 : *open - 1;
                if (*open == 0) {
                    done(state == port_state::open);
                }
            });
        }
    }

    /// Chooses hosts of different domains where possible, and others each time.
    [[nodiscard]] std::vector<listed_host> choose_references(const std::string& service,
                                                             const std::set<std::string>& excluded)
    {
        std::vector<std::pair<std::uint64_t, const listed_host*>> candidates;
        ++this->draws;
        for (const auto& [id, host] : this->view.hosts()) {
            const bool is_usable = host.service == service && !host.is_leaving && !excluded.contains(id) &&
                                   !this->view.is_silent(id);
            if (is_usable) {
                candidates.emplace_back(stable_hash(id, this->draws), &host);
            }
        }
        std::sort(candidates.begin(), candidates.end());
        std::set<std::string> domains;
        std::stable_partition(candidates.begin(), candidates.end(), [&](const auto& item) {
            const auto* host = item.second;
            return domains.insert(host->failure_domain + "/" + host->fabric_domain).second;
        });
        std::vector<listed_host> chosen;
        for (const auto& [rank, host] : candidates) {
            if (chosen.size() < this->settings.references) {
                chosen.push_back(*host);
            }
        }
        return chosen;
    }

    void conclude(const std::string& name, bool has_path)
    {
        auto& service = this->services[name];
        auto asked = std::exchange(service.asking, {});
        service.is_checking = false;
        service.answered_at = has_path ? std::optional{this->clock.now()} : std::nullopt;
        if (!has_path) {
            auto later = std::exchange(service.waiting, {});
            std::move(later.begin(), later.end(), std::back_inserter(asked));
            service.is_cut = true;
            service.cut_at = this->clock.now();
            service.answered_rounds = 0;
            service.ignored = asked.size();
            log_event(event::path_lost, {{"service", name},
                                         {"first_suspect", asked.front().suspect},
                                         {"suspects", asked.size()},
                                         {"rounds", this->settings.rounds_to_lose}});
            this->notify(name);
        }
        for (const auto& one : asked) {
            one.done(has_path);
        }
        if (!service.waiting.empty() && !service.is_checking) {
            this->begin_check(name, service);
        }
    }

    void on_rechecked(const std::string& name, bool has_answer)
    {
        auto& service = this->services[name];
        service.is_checking = false;
        service.answered_rounds = has_answer ? service.answered_rounds + 1 : 0;
        if (service.answered_rounds < this->settings.rounds_to_restore) {
            return;
        }
        service.is_cut = false;
        log_event(
            event::path_restored,
            {{"service", name}, {"after", this->clock.now() - service.cut_at}, {"ignored", service.ignored}});
        this->notify(name);
    }

    Io& io;
    const fleet_view& view;
    on_change notify;
    path_monitor_settings settings;
    monotonic_clock clock;
    std::map<std::string, service_paths> services;
    std::uint64_t draws = 0;
};

} // namespace coriander
