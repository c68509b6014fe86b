#include "core/json_text.hpp"
#include "coriander/clock.hpp"
#include "coriander/relay/event_framer.hpp"
#include "net/channel_pool.hpp"
#include "net/http_call_runner.hpp"
#include "platform/attempt_recorder.hpp"
#include "platform/entry_host_resolver.hpp"
#include "runtime/command_line.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <gflags/gflags.h>

#include <chrono>
#include <csignal>
#include <iostream>
#include <random>
#include <set>
#include <sstream>

DEFINE_string(directories, "", "addresses of gateways that list the entry hosts, comma-separated");
DEFINE_double(rate, 40.0, "requests per second");
DEFINE_double(seconds, 5.0, "for how many seconds requests are started");
DEFINE_string(crashing_part, "", "prompt part that some requests contain beside parts that others have too");
DEFINE_double(crashing_share, 0.0, "share of the streams that contain it");
DEFINE_int32(seed, 1, "seed of the random mix of requests");
DEFINE_string(record, "", "file to which a line for each attempt is appended; empty for none");

namespace {

using namespace coriander;
using standin::attempt_record;
using standin::attempt_recorder;
using standin::entry_host_resolver;

constexpr time_ms request_timeout = 8_s;
/// Four fifths of the gateways' idle timeout, as the platform's callers do.
constexpr time_ms max_idle_time = 12_s;
constexpr unsigned max_attempts = 4;

/// Outcomes of all requests.
struct totals {
    std::map<std::string, unsigned> outcomes;
    std::vector<std::string> wrong; ///< Attempts with an incorrect response, which must never occur.
    std::vector<std::int64_t> refusal_ms;
    unsigned open = 0;
};

/// What all requests share.
struct caller_state {
    explicit caller_state(asio::io_context& loop, std::vector<std::string> directories)
        : calls{loop}, resolver{this->calls, std::move(directories)}, channels{loop, channel_settings()}
    {
    }

    static pool_settings channel_settings()
    {
        pool_settings settings;
        settings.connect_timeout = 1_s;
        settings.max_idle_time = max_idle_time;
        settings.max_idle_per_server = 64; // More than are in use at once.
        return settings;
    }

    http_call_runner calls;
    entry_host_resolver resolver;
    channel_pool channels;
    attempt_recorder recorder{FLAGS_record};
    totals results;
    std::mt19937 random{static_cast<std::uint32_t>(FLAGS_seed)};
};

/// A request with all its attempts. Refused or failed attempts are retried, but a booking whose outcome is
/// unknown is not.
class caller_request : public response_receiver, public std::enable_shared_from_this<caller_request> {
public:
    caller_request(asio::io_context& loop, caller_state& state, std::string kind, std::string name)
        : resolver{state.resolver}, channels{state.channels}, recorder{state.recorder},
          results{state.results}, random{state.random}, timer{loop}, kind{std::move(kind)}, name{std::move(
                                                                                                name)}
    {
        if (this->kind == "chat") {
            this->is_crashing = std::uniform_real_distribution<double>{}(this->random) < FLAGS_crashing_share;
            this->model = this->random() % 2 == 0 ? "large" : "small";
            this->parts = make_parts(this->name, this->is_crashing, this->random);
        }
    }

    void send()
    {
        this->self = this->shared_from_this();
        if (this->resolver.addresses.empty() || this->attempt_count == max_attempts) {
            this->give_up(this->attempt_count == max_attempts ? "gave_up" : "no_entry_host");
            return;
        }
        ++this->attempt_count;
        this->head = {};
        this->body.clear();
        this->sent_at = this->clock.now();
        this->attempt = this->kind + "-" + this->name + "-" + std::to_string(this->attempt_count);
        const auto address = this->choose_address();
        bool is_reused = false;
        const bool is_retry = this->attempt_count > 1;
        this->channel = this->channels.acquire(address, is_retry, &is_reused);
        this->record = {};
        this->record.id = this->attempt;
        this->record.request = this->name;
        this->record.kind = this->kind;
        this->record.model = this->model;
        this->record.gateway = address;
        this->record.is_reused = is_reused;
        this->record.sent_at = wall_clock_now();
        this->record.deadline = request_timeout;
        std::vector<http_header> headers{{"Host", "desk.example"},
                                         {"Attempt-Id", this->attempt},
                                         {"Deadline-Ms", std::to_string(request_timeout.count())},
                                         {"Authorization", "Bearer gent-key"},
                                         {"Model", this->model},
                                         {"Token-Usage", "100,12"},
                                         {"Prefix-Hash", this->parts},
                                         {"Content-Length", std::to_string(this->name.size())}};
        this->channel->send(request_head_text("POST", "/" + this->kind + "/x", headers) + this->name, *this);
        this->timer.expires_after(std::chrono::milliseconds{request_timeout.count()});
        this->timer.async_wait([weak = this->weak_from_this()](const asio::error_code& cancelled) {
            if (const auto request = weak.lock(); request && !cancelled) {
                request->channel->close();
                request->record_end("no_answer");
                request->give_up("no_answer");
            }
        });
    }

    void on_response_head(message_head received) override
    {
        this->record.first_byte_at = wall_clock_now();
        this->head = std::move(received);
    }
    void on_response_body(std::string_view bytes) override { this->body += bytes; }

    void on_exchange_end(exchange_end how) override
    {
        const auto guard = this->shared_from_this();
        this->timer.cancel();
        constexpr int refused = 503;
        if (how == exchange_end::complete) {
            this->channels.release(this->record.gateway, this->channel);
        }
        if (this->is_crashing && how != exchange_end::not_sent) {
            this->finish("crashed_target");
            return;
        }
        if (how == exchange_end::complete && this->head.status / 100 == 2) {
            this->check_response();
        }
        else if (how == exchange_end::not_sent) {
            this->record_end("not_sent");
            this->failed.insert(this->record.gateway);
            this->send_after(50_ms);
        }
        else if (how == exchange_end::complete && this->head.status == refused) {
            this->results.refusal_ms.push_back((this->clock.now() - this->sent_at).count());
            ++this->results.outcomes["refusals"];
            this->record_end("refused");
            const std::string wait{this->head.header("Retry-After")};
            this->send_after(
                time_ms{wait.empty() ? 200 : static_cast<std::int64_t>(std::stod(wait) * 1000.0)});
        }
        else {
            this->record_end(how == exchange_end::complete    ? "error"
                             : how == exchange_end::malformed ? "malformed"
                                                              : "cut");
            this->retry_or_stop(how);
        }
    }

private:
    /// A part that all streams share, one of a few subjects, and a part of the request's own.
    static std::string make_parts(const std::string& name, bool is_crashing, std::mt19937& random)
    {
        constexpr unsigned subjects = 6;
        const auto subject = "5b" + std::to_string(random() % subjects);
        const auto crashing = is_crashing ? FLAGS_crashing_part + ":30," : std::string{};
        return "5a:40," + crashing + subject + ":60," + std::to_string(std::hash<std::string>{}(name)) +
               ":10";
    }

    /// A random entry host, if possible one that has not failed this request.
    std::string choose_address()
    {
        auto addresses = this->resolver.addresses;
        std::erase_if(addresses, [this](const std::string& one) { return this->failed.contains(one); });
        const auto& from = addresses.empty() ? this->resolver.addresses : addresses;
        return from[this->random() % from.size()];
    }

    /// After an end that does not say whether the request has run.
    void retry_or_stop(exchange_end how)
    {
        if (this->kind == "book") {
            this->finish("unknown");
            return;
        }
        ++this->results.outcomes[how == exchange_end::complete ? "errors" : "cut"];
        this->failed.insert(this->record.gateway);
        this->send_after(50_ms);
    }

    void record_end(const char* end)
    {
        this->record.end = end;
        this->record.status = this->head.status;
        this->record.retry_after = std::string{this->head.header("Retry-After")};
        event_framer framer;
        framer.feed(this->body, [this](std::string_view, std::optional<std::uint64_t> number) {
            this->record.events += number ? 1 : 0;
        });
        this->recorder.write(this->record);
    }

    void give_up(const char* outcome)
    {
        this->recorder.write_given_up(this->name, this->kind);
        this->finish(outcome);
    }

    void send_after(time_ms delay)
    {
        this->timer.expires_after(std::chrono::milliseconds{delay.count()});
        this->timer.async_wait([request = this->shared_from_this()](const asio::error_code& cancelled) {
            if (!cancelled) {
                request->send();
            }
        });
    }

    /// A complete response must belong to this attempt and contain each event once and in order.
    void check_response()
    {
        const bool is_own = this->head.header("Attempt-Id") == this->attempt;
        if (this->kind == "chat") {
            constexpr std::uint64_t events = 12;
            std::uint64_t next = 1;
            event_framer framer;
            framer.feed(this->body, [&](std::string_view, std::optional<std::uint64_t> number) {
                next += number == next ? 1 : 1000;
            });
            this->record_check(is_own && next == events + 1 && !framer.has_partial());
        }
        else {
            this->record_check(is_own && this->body == "done " + this->attempt);
        }
    }

    void record_check(bool is_correct)
    {
        if (!is_correct) {
            this->results.wrong.push_back(this->attempt + " got " + this->body);
        }
        this->record_end(is_correct ? "complete" : "wrong");
        this->finish(is_correct ? "whole" : "wrong");
    }

    void finish(const char* outcome)
    {
        this->timer.cancel();
        ++this->results.outcomes[outcome];
        --this->results.open;
        this->self.reset();
    }

    const entry_host_resolver& resolver;
    channel_pool& channels;
    attempt_recorder& recorder;
    totals& results;
    std::mt19937& random;
    asio::steady_timer timer;
    monotonic_clock clock;
    std::string kind;
    std::string name;
    std::string model;
    std::string parts;
    bool is_crashing = false;
    std::string attempt;
    attempt_record record;
    std::set<std::string> failed; ///< Addresses of entry hosts.
    std::shared_ptr<http_channel> channel;
    std::shared_ptr<caller_request> self;
    message_head head;
    std::string body;
    time_ms sent_at;
    unsigned attempt_count = 0;
};

/// Starts requests at a fixed rate, regardless of responses.
class open_loop {
public:
    explicit open_loop(asio::io_context& loop)
        : loop{loop}, state{loop, split(FLAGS_directories)}, timer{loop},
          resolve_timer{loop}, remaining{static_cast<unsigned>(FLAGS_rate * FLAGS_seconds)}
    {
        this->refresh();
        this->schedule();
    }

    [[nodiscard]] bool is_done() const noexcept
    {
        return this->remaining == 0 && this->state.results.open == 0;
    }
    [[nodiscard]] const totals& result() const noexcept { return this->state.results; }

private:
    static std::vector<std::string> split(const std::string& text)
    {
        std::vector<std::string> parts;
        std::istringstream stream{text};
        for (std::string part; std::getline(stream, part, ',');) {
            parts.push_back(part);
        }
        return parts;
    }

    void refresh()
    {
        this->state.resolver.resolve();
        this->state.channels.close_expired();
        this->resolve_timer.expires_after(std::chrono::milliseconds{500});
        this->resolve_timer.async_wait([this](const asio::error_code& cancelled) {
            if (!cancelled && !this->is_done()) {
                this->refresh();
            }
        });
    }

    void schedule()
    {
        this->timer.expires_after(std::chrono::microseconds{static_cast<std::int64_t>(1e6 / FLAGS_rate)});
        this->timer.async_wait([this](const asio::error_code& cancelled) {
            if (cancelled || this->remaining == 0) {
                return;
            }
            --this->remaining;
            ++this->state.results.open;
            constexpr const char* kinds[] = {"chat", "chat", "chat", "book", "look"};
            const auto* kind = kinds[this->state.random() % std::size(kinds)];
            std::make_shared<caller_request>(this->loop, this->state, kind,
                                             this->run_id + "-" + std::to_string(this->remaining))
                ->send();
            this->schedule();
        });
    }

    asio::io_context& loop;
    caller_state state;
    asio::steady_timer timer;
    asio::steady_timer resolve_timer;
    /// Distinguishes this run's requests from those of other runs against the same stand-ins.
    std::string run_id = std::to_string(wall_clock_now().count());
    unsigned remaining;
};

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN); // NOLINT(bugprone-signal-handler): no handler is set.
    (void)parse_command_line(argc, argv, "Sends requests through gateways and checks every response.");
    asio::io_context loop{1};
    open_loop load{loop};
    while (!load.is_done()) {
        loop.run_one_for(std::chrono::milliseconds{100});
        loop.restart();
    }
    const auto& results = load.result();
    auto slowest = results.refusal_ms.empty()
                       ? 0
                       : *std::max_element(results.refusal_ms.begin(), results.refusal_ms.end());
    std::cout << to_text({{"outcomes", results.outcomes},
                          {"wrong", results.wrong},
                          {"slowest_refusal_ms", slowest}})
              << std::endl;
    return results.wrong.empty() ? 0 : 1;
}
