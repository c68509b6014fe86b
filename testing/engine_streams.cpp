// The part of the engine stand-in that generates, caches and fails.

#include "coriander/random_source.hpp"
#include "engine_host.hpp"
#include "expected_answer.hpp"

#include <cstdlib>

namespace coriander {
namespace {

constexpr std::size_t prefix_bytes = 64;
constexpr std::size_t cached_prefixes = 256;
constexpr std::size_t kept_cache_events = 512;

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

void engine_host::start_waiting(clock::time_point now)
{
    while (!this->waiting.empty() && this->running.size() < static_cast<std::size_t>(this->pace.capacity)) {
        this->running.splice(this->running.end(), this->waiting, this->waiting.begin());
        auto& one = this->running.back();
        const bool is_cached = this->holds_prefix(one.prompt);
        const int prefill = is_cached ? this->pace.cached_first_token_ms : this->pace.first_token_ms;
        const auto wait = static_cast<int>(prefill * this->faults.slow_factor);
        one.due = now + std::chrono::milliseconds{wait};
        this->note_prefix(one.prompt);
    }
}

void engine_host::tick()
{
    const std::scoped_lock lock{this->mutex};
    const auto now = clock::now();
    if (this->faults.unresponsive) {
        return;
    }
    for (auto one = this->running.begin(); one != this->running.end();) {
        if (this->advance(*one, now)) {
            ++one;
        }
        else {
            one = this->running.erase(one);
        }
    }
    this->start_waiting(now);
}

/// Sends the tokens that are due. False when the stream has ended.
bool engine_host::advance(stream& one, clock::time_point now)
{
    if (one.muted) {
        return true;
    }
    if (one.reply->disconnected()) {
        return false;
    }
    const auto pause = std::chrono::microseconds{
        static_cast<std::int64_t>(this->pace.token_ms * 1000 * this->faults.slow_factor)};
    while (one.due <= now && one.next < one.count) {
        const auto token = expected_token(one.prompt, one.next);
        one.reply->append(to_text({{"attempt", one.attempt}, {"index", one.next}, {"text", token}}) + "\n");
        ++one.next;
        one.due += pause;
    }
    if (one.next < one.count) {
        return true;
    }
    const json_object end{{"attempt", one.attempt},
                          {"end", true},
                          {"count", one.count},
                          {"running", this->running.size() - 1},
                          {"queued", this->waiting.size()}};
    one.reply->append(to_text(end) + "\n");
    one.reply->finish();
    return false;
}

/// The streams that run now fall silent for good; later ones are not affected.
void engine_host::mute_streams()
{
    for (auto* list : {&this->running, &this->waiting}) {
        for (auto& one : *list) {
            one.muted = true;
        }
    }
}

void engine_host::end_all(const std::string& why)
{
    for (auto* list : {&this->running, &this->waiting}) {
        for (auto& one : *list) {
            one.reply->append(to_text({{"attempt", one.attempt}, {"error", why}}) + "\n");
            one.reply->finish();
        }
        list->clear();
    }
}

/// The whole process ends, or, when several hosts share it, this one starts anew.
void engine_host::crash()
{
    if (this->exit_on_crash) {
        std::_Exit(EXIT_FAILURE);
    }
    ++this->crashes;
    this->end_all("crashed");
    this->incarnation = new_incarnation();
    this->replica.clear();
    this->generation = 0;
    this->fence = 0;
    this->prefixes.clear();
    this->cache_events.clear();
    this->last_cache_event = 0;
    this->past_reports.clear();
}

void engine_host::note_prefix(const std::string& prompt)
{
    const auto add = [this](const std::string& prefix, bool stored) {
        ++this->last_cache_event;
        if (!this->faults.drop_cache_events) {
            this->cache_events.push_back({this->last_cache_event, prefix, stored});
        }
        if (this->cache_events.size() > kept_cache_events) {
            this->cache_events.pop_front();
        }
    };
    const auto prefix = prefix_of(prompt);
    if (this->prefixes.insert(prefix).second) {
        add(prefix, true);
    }
    if (this->prefixes.size() > cached_prefixes) {
        const auto evicted = *this->prefixes.begin();
        this->prefixes.erase(this->prefixes.begin());
        add(evicted, false);
    }
}

bool engine_host::holds_prefix(const std::string& prompt) const
{
    return this->prefixes.contains(prefix_of(prompt));
}

void engine_host::watch_members()
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
        this->client.start(std::move(call), {}, [=, this](const http_result& end) {
            const auto report = end.ok() ? decode_host_report(end.body) : std::nullopt;
            const bool belongs =
                report && report->replica == own_replica && report->generation == own_generation;
            if (!belongs) {
                this->lose_member(own_replica, own_generation);
            }
        });
    }
}

/// Without a member the replica can't compute; what runs is lost.
void engine_host::lose_member(const std::string& lost_replica, std::uint64_t lost_generation)
{
    const std::scoped_lock lock{this->mutex};
    const bool is_current = this->replica == lost_replica && this->generation == lost_generation;
    if (is_current && clock::now() >= this->ready_at) {
        this->end_all("member_lost");
    }
}

} // namespace coriander
