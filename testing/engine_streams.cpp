// Token generation, prefix cache and simulated crashes of the stand-in engine.

#include "coriander/random_source.hpp"
#include "engine_host.hpp"
#include "expected_answer.hpp"

#include <cstdlib>

namespace coriander {
namespace {

constexpr std::size_t prefix_bytes = 64;
constexpr std::size_t max_cached_prefixes = 256;
constexpr std::size_t max_cache_events = 512;

std::string prefix_of(const std::string& prompt)
{
    return prompt.substr(0, prefix_bytes);
}

} // namespace

std::string new_incarnation()
{
    static std::mutex mutex;
    static auto random = seeded_generator();
    const std::scoped_lock lock{mutex};
    return draw_token(random);
}

void engine_host::start_waiting_streams(clock::time_point now)
{
    while (!this->waiting.empty() &&
           this->running.size() < static_cast<std::size_t>(this->settings.capacity)) {
        this->running.splice(this->running.end(), this->waiting, this->waiting.begin());
        auto& started = this->running.back();
        const bool is_cached = this->has_cached_prefix(started.prompt);
        const int prefill = is_cached ? this->settings.cached_first_token_ms : this->settings.first_token_ms;
        const auto prefill_delay = static_cast<int>(prefill * this->faults.slow_factor);
        started.due = now + std::chrono::milliseconds{prefill_delay};
        this->cache_prefix(started.prompt);
    }
}

void engine_host::tick()
{
    const std::scoped_lock lock{this->mutex};
    const auto now = clock::now();
    if (this->faults.unresponsive) {
        return;
    }
    for (auto current = this->running.begin(); current != this->running.end();) {
        if (this->advance(*current, now)) {
            ++current;
        }
        else {
            current = this->running.erase(current);
        }
    }
    this->start_waiting_streams(now);
}

/// Sends the tokens that are due. Returns false when the stream has ended.
bool engine_host::advance(stream& current, clock::time_point now)
{
    if (current.stalled) {
        return true;
    }
    if (current.reply->disconnected()) {
        return false;
    }
    const auto token_interval = std::chrono::microseconds{
        static_cast<std::int64_t>(this->settings.token_ms * 1000 * this->faults.slow_factor)};
    while (current.due <= now && current.next < current.count) {
        const auto token = expected_token(current.prompt, current.next);
        current.reply->append(
            to_text({{"attempt", current.attempt}, {"index", current.next}, {"text", token}}) + "\n");
        ++current.next;
        current.due += token_interval;
    }
    if (current.next < current.count) {
        return true;
    }
    const json_object end_event{{"attempt", current.attempt},
                                {"end", true},
                                {"count", current.count},
                                {"running", this->running.size() - 1},
                                {"queued", this->waiting.size()}};
    current.reply->append(to_text(end_event) + "\n");
    current.reply->finish();
    return false;
}

/// Stalls all current streams permanently; later streams are not affected.
void engine_host::stall_streams()
{
    for (auto* list : {&this->running, &this->waiting}) {
        for (auto& current : *list) {
            current.stalled = true;
        }
    }
}

void engine_host::end_all_streams(const std::string& error)
{
    for (auto* list : {&this->running, &this->waiting}) {
        for (auto& current : *list) {
            current.reply->append(to_text({{"attempt", current.attempt}, {"error", error}}) + "\n");
            current.reply->finish();
        }
        list->clear();
    }
}

/// Ends the process with `exit_on_crash`; otherwise simulates a restart of this host.
void engine_host::crash()
{
    if (this->exit_on_crash) {
        std::_Exit(EXIT_FAILURE);
    }
    ++this->crashes;
    this->end_all_streams("crashed");
    this->incarnation = new_incarnation();
    this->replica.clear();
    this->generation = 0;
    this->fence = 0;
    this->prefixes.clear();
    this->cache_events.clear();
    this->last_cache_event = 0;
    this->past_reports.clear();
}

void engine_host::cache_prefix(const std::string& prompt)
{
    const auto add_event = [this](const std::string& prefix, bool stored) {
        ++this->last_cache_event;
        if (!this->faults.drop_cache_events) {
            this->cache_events.push_back({this->last_cache_event, prefix, stored});
        }
        if (this->cache_events.size() > max_cache_events) {
            this->cache_events.pop_front();
        }
    };
    const auto prefix = prefix_of(prompt);
    if (this->prefixes.insert(prefix).second) {
        add_event(prefix, true);
    }
    if (this->prefixes.size() > max_cached_prefixes) {
        const auto evicted = *this->prefixes.begin();
        this->prefixes.erase(this->prefixes.begin());
        add_event(evicted, false);
    }
}

bool engine_host::has_cached_prefix(const std::string& prompt) const
{
    return this->prefixes.contains(prefix_of(prompt));
}

void engine_host::check_members()
{
    std::vector<std::string> addresses;
    std::string own_replica;
    std::uint64_t own_generation = 0;
    {
        const std::scoped_lock lock{this->mutex};
        addresses = this->other_members;
        own_replica = this->replica;
        own_generation = this->generation;
    }
    for (const auto& address : addresses) {
        http_call call;
        call.url = "http://" + address + "/engine/report";
        call.total_timeout = time_ms{1000};
        this->client.start(std::move(call), {}, [=, this](const http_result& response) {
            const auto report = response.ok() ? decode_host_report(response.body) : std::nullopt;
            const bool is_member =
                report && report->replica == own_replica && report->generation == own_generation;
            if (!is_member) {
                this->on_member_lost(own_replica, own_generation);
            }
        });
    }
}

/// A replica can't generate without all of its members, so its streams end with an error.
void engine_host::on_member_lost(const std::string& lost_replica, std::uint64_t lost_generation)
{
    const std::scoped_lock lock{this->mutex};
    const bool is_current = this->replica == lost_replica && this->generation == lost_generation;
    if (is_current && clock::now() >= this->ready_at) {
        this->end_all_streams("member_lost");
    }
}

} // namespace coriander
