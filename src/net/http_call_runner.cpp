#include "net/http_call_runner.hpp"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>

namespace coriander {
namespace {

/// One call. Owns itself until the call has ended.
class running_call : public response_receiver, public std::enable_shared_from_this<running_call> {
public:
    running_call(asio::io_context& loop, channel_pool& channels, std::string address,
                 http_call_runner::on_done done)
        : channels{channels}, timer{loop}, address{std::move(address)}, done{std::move(done)}
    {
    }

    void run(const loop_call& call, std::shared_ptr<http_channel> on)
    {
        this->self = this->shared_from_this();
        this->channel = std::move(on);
        this->max_body_bytes = call.max_body_bytes;
        this->timer.expires_after(std::chrono::milliseconds{call.timeout.count()});
        this->timer.async_wait([weak = this->weak_from_this()](const asio::error_code& cancelled) {
            if (const auto one = weak.lock(); one && !cancelled) {
                one->on_timeout();
            }
        });
        auto headers = call.headers;
        headers.insert(headers.begin(), {"Host", call.address});
        if (!call.body.empty() || call.method != "GET") {
            headers.push_back({"Content-Length", std::to_string(call.body.size())});
        }
        this->channel->send(request_head_text(call.method, call.target, headers) + call.body, *this);
    }

    void on_response_head(message_head head) override
    {
        this->result.status = head.status;
        this->result.headers = std::move(head.headers);
    }

    void on_response_body(std::string_view bytes) override
    {
        if (this->result.body.size() + bytes.size() <= this->max_body_bytes) {
            this->result.body.append(bytes);
            return;
        }
        this->channel->close();
        this->finish(http_outcome::lost, "response body too large");
    }

    void on_exchange_end(exchange_end end) override
    {
        if (end == exchange_end::complete) {
            this->channels.release(this->address, this->channel);
            this->finish(http_outcome::answered, {});
        }
        else {
            this->finish(end == exchange_end::not_sent ? http_outcome::not_sent : http_outcome::lost,
                         end == exchange_end::not_sent ? "connection failed" : "connection lost");
        }
    }

private:
    void on_timeout()
    {
        const bool was_sent = this->channel->is_connected();
        this->channel->close();
        this->finish(was_sent ? http_outcome::lost : http_outcome::not_sent, "request timed out");
    }

    void finish(http_outcome outcome, std::string message)
    {
        this->timer.cancel();
        this->result.outcome = outcome;
        this->result.message = std::move(message);
        const auto keep = std::move(this->self);
        this->done(std::move(this->result));
    }

    channel_pool& channels;
    asio::steady_timer timer;
    std::string address;
    http_call_runner::on_done done;
    std::shared_ptr<http_channel> channel;
    std::shared_ptr<running_call> self;
    std::size_t max_body_bytes = 0;
    http_result result;
};

} // namespace

void http_call_runner::start(const loop_call& call, on_done done)
{
    auto channel = this->channels.acquire(call.address, call.is_fresh);
    if (!channel) {
        http_result failed;
        failed.message = "'" + call.address + "' is not an IP:port address";
        asio::post(this->loop, [done = std::move(done), failed] { done(failed); });
        return;
    }
    std::make_shared<running_call>(this->loop, this->channels, call.address, std::move(done))
        ->run(call, std::move(channel));
}

} // namespace coriander
