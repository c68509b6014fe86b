#include "core/json_text.hpp"
#include "coriander/clock.hpp"
#include "coriander/relay/event_framer.hpp"
#include "net/channel_pool.hpp"
#include "net/http_call_runner.hpp"
#include "runtime/command_line.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <gflags/gflags.h>

#include <chrono>
#include <csignal>
#include <iostream>
#include <random>
#include <sstream>

DEFINE_string(directories, "", "addresses that tell which entry hosts to use, comma-separated");
DEFINE_double(rate, 40.0, "requests a second");
DEFINE_double(seconds, 5.0, "how long requests are begun");
DEFINE_int32(seed, 1, "of the mix of requests");

namespace {

using namespace coriander;

constexpr time_ms answer_limit = 8_s;
constexpr unsigned most_sendings = 4;

/// What became of all requests.
struct tally {
    std::map<std::string, unsigned> outcomes;
    std::vector<std::string> wrong; ///< Answers that must never come.
    std::vector<std::int64_t> refusal_ms;
    unsigned open = 0;
};

/// Knows which entry hosts to use.
class address_book {
public:
    address_book(http_call_runner& calls, std::vector<std::string> directories)
        : calls{calls}, directories{std::move(directories)}
    {
    }

    void ask(std::size_t next = 0)
    {
        if (next == this->directories.size()) {
            return; // All are down: what is known stays.
        }
        loop_call call;
        call.address = this->directories[next];
        call.target = "/resolve?name=desk.example&region=r&zone=z";
        this->calls.start(call, [this, next](const http_result& answer) {
            const auto parsed = parse_object(answer.body);
            const auto found =
                parsed ? parsed->value("addresses", std::vector<std::string>{}) : std::vector<std::string>{};
            if (answer.ok() && !found.empty()) {
                this->addresses = found;
            }
            else {
                this->ask(next + 1);
            }
        });
    }

    std::vector<std::string> addresses;

private:
    http_call_runner& calls;
    std::vector<std::string> directories;
};

/// One request with all its sendings.
class caller_request : public response_receiver, public std::enable_shared_from_this<caller_request> {
public:
    caller_request(asio::io_context& loop, const address_book& book, tally& sum, std::mt19937& random,
                   std::string kind, std::string name)
        : loop{loop}, book{book}, sum{sum}, random{random}, timer{loop}, kind{std::move(kind)}, name{
                                                                                                    std::move(
                                                                                                        name)}
    {
    }

    void send()
    {
        this->self = this->shared_from_this();
        if (this->book.addresses.empty() || this->sendings == most_sendings) {
            this->end(this->sendings == most_sendings ? "gave_up" : "no_entry_host");
            return;
        }
        ++this->sendings;
        this->head = {};
        this->body.clear();
        this->sent_at = this->clock.now();
        this->attempt = this->kind + "-" + this->name + "-" + std::to_string(this->sendings);
        const auto& address = this->book.addresses[this->random() % this->book.addresses.size()];
        this->channel = std::make_shared<http_channel>(this->loop);
        this->channel->connect(parse_endpoint(address), 1_s);
        std::vector<http_header> headers{{"Host", "desk.example"},
                                         {"Attempt-Id", this->attempt},
                                         {"Deadline-Ms", std::to_string(answer_limit.count())},
                                         {"Authorization", "Bearer gent-key"},
                                         {"Model", this->random() % 2 == 0 ? "large" : "small"},
                                         {"Token-Usage", "100,12"},
                                         {"Content-Length", "2"}};
        this->channel->send(request_head_text("POST", "/" + this->kind + "/x", headers) + "hi", *this);
        this->timer.expires_after(std::chrono::milliseconds{answer_limit.count()});
        this->timer.async_wait([weak = this->weak_from_this()](const asio::error_code& cancelled) {
            if (const auto one = weak.lock(); one && !cancelled) {
                one->channel->close();
                one->end("no_answer");
            }
        });
    }

    void on_response_head(message_head received) override { this->head = std::move(received); }
    void on_response_body(std::string_view bytes) override { this->body += bytes; }

    void on_exchange_end(exchange_end how) override
    {
        const auto keep = this->shared_from_this();
        this->timer.cancel();
        constexpr int refused = 503;
        if (how == exchange_end::complete && this->head.status / 100 == 2) {
            this->judge();
        }
        else if (how == exchange_end::not_sent) {
            this->send_later(50_ms);
        }
        else if (how == exchange_end::complete && this->head.status == refused) {
            this->sum.refusal_ms.push_back((this->clock.now() - this->sent_at).count());
            ++this->sum.outcomes["refusals"];
            const std::string wait{this->head.header("Retry-After")};
            this->send_later(
                time_ms{wait.empty() ? 200 : static_cast<std::int64_t>(std::stod(wait) * 1000.0)});
        }
        else if (this->kind != "book") {
            ++this->sum.outcomes[how == exchange_end::complete ? "errors" : "cut"];
            this->send_later(50_ms);
        }
        else {
            this->end("unknown");
        }
    }

private:
    void send_later(time_ms delay)
    {
        this->timer.expires_after(std::chrono::milliseconds{delay.count()});
        this->timer.async_wait([one = this->shared_from_this()](const asio::error_code& cancelled) {
            if (!cancelled) {
                one->send();
            }
        });
    }

    /// A whole answer must be this sending's own, with each event once and in order.
    void judge()
    {
        const bool is_own = this->head.header("Attempt-Id") == this->attempt;
        if (this->kind == "chat") {
            constexpr std::uint64_t events = 12;
            std::uint64_t next = 1;
            event_framer framer;
            framer.feed(this->body, [&](std::string_view, std::optional<std::uint64_t> number) {
                next += number == next ? 1 : 1000;
            });
            this->judge_as(is_own && next == events + 1 && !framer.has_partial());
        }
        else {
            this->judge_as(is_own && this->body == "done " + this->attempt);
        }
    }

    void judge_as(bool is_right)
    {
        if (!is_right) {
            this->sum.wrong.push_back(this->attempt + " got " + this->body);
        }
        this->end(is_right ? "whole" : "wrong");
    }

    void end(const char* outcome)
    {
        this->timer.cancel();
        ++this->sum.outcomes[outcome];
        --this->sum.open;
        this->self.reset();
    }

    asio::io_context& loop;
    const address_book& book;
    tally& sum;
    std::mt19937& random;
    asio::steady_timer timer;
    monotonic_clock clock;
    std::string kind;
    std::string name;
    std::string attempt;
    std::shared_ptr<http_channel> channel;
    std::shared_ptr<caller_request> self;
    message_head head;
    std::string body;
    time_ms sent_at;
    unsigned sendings = 0;
};

/// Begins requests at a fixed rate, whatever becomes of them.
class open_loop {
public:
    explicit open_loop(asio::io_context& loop)
        : loop{loop}, calls{loop}, book{this->calls, split(FLAGS_directories)}, timer{loop},
          book_timer{loop}, random{static_cast<std::uint32_t>(FLAGS_seed)}, left{static_cast<unsigned>(
                                                                                FLAGS_rate * FLAGS_seconds)}
    {
        this->refresh();
        this->schedule();
    }

    [[nodiscard]] bool is_done() const noexcept { return this->left == 0 && this->sum.open == 0; }
    [[nodiscard]] const tally& result() const noexcept { return this->sum; }

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
        this->book.ask();
        this->book_timer.expires_after(std::chrono::milliseconds{500});
        this->book_timer.async_wait([this](const asio::error_code& cancelled) {
            if (!cancelled && !this->is_done()) {
                this->refresh();
            }
        });
    }

    void schedule()
    {
        this->timer.expires_after(std::chrono::microseconds{static_cast<std::int64_t>(1e6 / FLAGS_rate)});
        this->timer.async_wait([this](const asio::error_code& cancelled) {
            if (cancelled || this->left == 0) {
                return;
            }
            --this->left;
            ++this->sum.open;
            constexpr const char* kinds[] = {"chat", "chat", "chat", "book", "look"};
            const auto* kind = kinds[this->random() % std::size(kinds)];
            std::make_shared<caller_request>(this->loop, this->book, this->sum, this->random, kind,
                                             this->run + "-" + std::to_string(this->left))
                ->send();
            this->schedule();
        });
    }

    asio::io_context& loop;
    http_call_runner calls;
    address_book book;
    asio::steady_timer timer;
    asio::steady_timer book_timer;
    std::mt19937 random;
    /// Tells this run's requests from those of others before the same stand-ins.
    std::string run = std::to_string(wall_clock_now().count());
    tally sum;
    unsigned left;
};

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN); // NOLINT(bugprone-signal-handler): no handler is set.
    (void)parse_command_line(argc, argv, "Sends requests through gateways and judges every answer.");
    asio::io_context loop{1};
    open_loop load{loop};
    while (!load.is_done()) {
        loop.run_one_for(std::chrono::milliseconds{100});
        loop.restart();
    }
    const auto& sum = load.result();
    auto slowest =
        sum.refusal_ms.empty() ? 0 : *std::max_element(sum.refusal_ms.begin(), sum.refusal_ms.end());
    std::cout << to_text({{"outcomes", sum.outcomes}, {"wrong", sum.wrong}, {"slowest_refusal_ms", slowest}})
              << std::endl;
    return sum.wrong.empty() ? 0 : 1;
}
